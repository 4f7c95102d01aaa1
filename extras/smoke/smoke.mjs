// Plain and streamed completions through an instance, with the official client.
//   node smoke.mjs http://127.0.0.1:8080 KEY [MODEL]
import OpenAI from "openai";

const [address, key, model = "summary-7b"] = process.argv.slice(2);
if (!address || !key) {
  console.error("usage: node smoke.mjs ADDRESS KEY [MODEL]");
  process.exit(2);
}
const client = new OpenAI({ baseURL: `${address}/v1`, apiKey: key, maxRetries: 0 });
const messages = [{ role: "user", content: "Summarise exhibit 12." }];

let failures = 0;
function check(what, holds) {
  console.log(`${holds ? "ok   " : "WRONG"} ${what}`);
  if (!holds) failures += 1;
}

const plain = await client.chat.completions.create({ model, messages, max_tokens: 8 });
const text = plain.choices[0].message.content;
check("a plain answer with its usage", text.length > 0 && plain.usage.completion_tokens === 8);

let streamed = "";
let reason = null;
const stream = await client.chat.completions.create({ model, messages, max_tokens: 8, stream: true });
for await (const chunk of stream) {
  streamed += chunk.choices[0]?.delta?.content ?? "";
  reason = chunk.choices[0]?.finish_reason ?? reason;
}
check("a streamed answer with the same text", streamed === text);
check("and its finish reason", reason === "length");

const models = await client.models.list();
check("the list of models", models.data.some((entry) => entry.id === model));

const stranger = new OpenAI({ baseURL: `${address}/v1`, apiKey: "nobodys-key", maxRetries: 0 });
const error = await stranger.chat.completions
  .create({ model, messages })
  .then(() => null, (caught) => caught);
check("a wrong key is an AuthenticationError", error instanceof OpenAI.AuthenticationError);
check("with its code", error?.code === "invalid_key");

console.log(`${failures} failed`);
process.exit(failures === 0 ? 0 : 1);
