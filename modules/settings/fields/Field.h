#pragma once

#include "core/errors/Reason.h"
#include "core/names/NameTable.h"
#include "core/time/Millis.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cuminrail {

/** What the settings page says of one entry. */
struct FieldInfo
{
    std::string name;
    std::string type;
    std::string unit;
    bool isRequired = false;
    std::string meaning;
};

/** One row of the settings page: an entry with its full path. */
struct SettingsPageRow
{
    std::string path;
    std::string type;
    std::string unit;
    /** "required", or the value that an absent entry has. */
    std::string defaultText;
    std::string meaning;
};

/** Collects every mistake found in one subtree. */
class FieldProblems
{
public:
    FieldProblems(std::string subtree, std::vector<Reason> &reasons)
        : subtree_(std::move(subtree)), reasons_(reasons)
    { }

    /** Notes a mistake at a JSON pointer, such as "/customers/2/weight". */
    void add(const std::string &pointer, std::string what)
    {
        const std::string where = pointer.empty() ? std::string("/") : pointer;
        reasons_.push_back(Reason{subtree_ + ": " + where, std::move(what)});
    }

private:
    std::string subtree_;
    std::vector<Reason> &reasons_;
};

/**
    One named entry of a settings type: how it is read, written and described.

    Reader, writer and docs/SETTINGS.md all go through these tables, so they cannot differ.

    @see FieldTable
*/
template<typename T>
struct Field
{
    using Json = nlohmann::json;

    FieldInfo info;
    std::function<void(const Json &, const std::string &pointer, T &, FieldProblems &)> read;
    std::function<Json(const T &)> write;
    /** Adds the rows of a list's or object's own entries; empty for a plain value. */
    std::function<void(const std::string &path, std::vector<SettingsPageRow> &)> addNestedRows;
};

/** The entries of one settings type, in the order of the page. Specialised per type. */
template<typename T>
struct FieldTable
{
    static const std::vector<Field<T>> &fields();
};

/** Reads an object by its table: unknown and missing names are mistakes. */
template<typename T>
void readFields(const nlohmann::json &value, const std::string &pointer, T &target,
                FieldProblems &problems)
{
    if (!value.is_object()) {
        problems.add(pointer, "must be an object");
        return;
    }
    const auto &fields = FieldTable<T>::fields();
    for (const auto &entry : value.items()) {
        const auto hasName = [&](const Field<T> &field) { return field.info.name == entry.key(); };
        if (std::none_of(fields.begin(), fields.end(), hasName))
            problems.add(pointer + "/" + entry.key(), "unknown entry");
    }
    for (const Field<T> &field : fields) {
        const auto found = value.find(field.info.name);
        const std::string fieldPointer = pointer + "/" + field.info.name;
        if (found != value.end())
            field.read(*found, fieldPointer, target, problems);
        else if (field.info.isRequired)
            problems.add(fieldPointer, "is missing");
    }
}

/**
    Writes an object by its table.

    Entries that have their default are left out, so that an instance of an older version does
    not refuse a tree because of an entry that nobody uses yet.
*/
template<typename T>
nlohmann::json writeFields(const T &source)
{
    const T defaults{};
    nlohmann::json object = nlohmann::json::object();
    for (const Field<T> &field : FieldTable<T>::fields()) {
        nlohmann::json value = field.write(source);
        if (field.info.isRequired || value != field.write(defaults))
            object[field.info.name] = std::move(value);
    }
    return object;
}

/** Adds the page's rows for a type and the types inside it. */
template<typename T>
void addPageRows(const std::string &path, std::vector<SettingsPageRow> &rows)
{
    const T defaults{};
    for (const Field<T> &field : FieldTable<T>::fields()) {
        const std::string fieldPath = path + "/" + field.info.name;
        const bool isNestedObject = field.info.type == "object";
        const std::string byDefault = isNestedObject ? "{}" : field.write(defaults).dump();
        rows.push_back(SettingsPageRow{fieldPath, field.info.type, field.info.unit,
                                       field.info.isRequired ? "required" : byDefault,
                                       field.info.meaning});
        if (field.addNestedRows)
            field.addNestedRows(fieldPath, rows);
    }
}

namespace detail {

/** Returns what is wrong with a text, or nothing. */
using TextCheck = std::function<std::optional<std::string>(const std::string &)>;

inline const std::string &textOf(const std::string &value)
{
    return value;
}

template<typename Id>
const std::string &textOf(const Id &value)
{
    return value.text();
}

/** An entry whose value is a text, kept in a std::string or an Id. */
template<typename T, typename Member>
Field<T> textField(const FieldInfo &info, Member T::*member, TextCheck check)
{
    Field<T> field;
    field.info = info;
    field.read = [member, check = std::move(check)](const nlohmann::json &value,
                                                    const std::string &pointer, T &target,
                                                    FieldProblems &problems) {
        if (!value.is_string())
            return problems.add(pointer, "must be a string");
        const auto text = value.get<std::string>();
        if (const auto problem = check(text))
            return problems.add(pointer, *problem);
        target.*member = Member(text);
    };
    field.write = [member](const T &source) { return nlohmann::json(textOf(source.*member)); };
    return field;
}

/** An entry whose value is a list of texts without repetitions. */
template<typename T, typename Member>
Field<T> textListField(const FieldInfo &info, std::vector<Member> T::*member, TextCheck check)
{
    Field<T> field;
    field.info = info;
    field.read = [member, check = std::move(check)](const nlohmann::json &value,
                                                    const std::string &pointer, T &target,
                                                    FieldProblems &problems) {
        if (!value.is_array())
            return problems.add(pointer, "must be a list of strings");
        for (std::size_t i = 0; i < value.size(); ++i) {
            const std::string elementPointer = pointer + "/" + std::to_string(i);
            // A wrong element keeps its place, so that later mistakes name the right index.
            (target.*member).emplace_back();
            if (!value[i].is_string()) {
                problems.add(elementPointer, "must be a string");
                continue;
            }
            const auto text = value[i].get<std::string>();
            if (const auto problem = check(text))
                problems.add(elementPointer, *problem);
            else if (std::find(value.begin(), value.begin() + static_cast<std::ptrdiff_t>(i), text)
                     != value.begin() + static_cast<std::ptrdiff_t>(i))
                problems.add(elementPointer, "\"" + text + "\" stands twice in the list");
            else
                (target.*member).back() = Member(text);
        }
    };
    field.write = [member](const T &source) {
        nlohmann::json list = nlohmann::json::array();
        for (const Member &element : source.*member)
            list.push_back(textOf(element));
        return list;
    };
    return field;
}

/** An entry whose value is a finite number in a closed range. */
template<typename T>
Field<T> numberField(const FieldInfo &info, double T::*member, double minimum, double maximum)
{
    Field<T> field;
    field.info = info;
    field.read = [=](const nlohmann::json &value, const std::string &pointer, T &target,
                     FieldProblems &problems) {
        if (!value.is_number())
            return problems.add(pointer, "must be a number");
        const auto number = value.get<double>();
        if (!std::isfinite(number) || number < minimum || number > maximum)
            return problems.add(pointer,
                                "must be from " + nlohmann::json(minimum).dump() + " to "
                                    + nlohmann::json(maximum).dump());
        target.*member = number;
    };
    field.write = [member](const T &source) { return nlohmann::json(source.*member); };
    return field;
}

/** Reads a whole number in a closed range; notes the mistake and returns nothing otherwise. */
std::optional<std::int64_t> readWholeNumber(const nlohmann::json &value, const std::string &pointer,
                                            std::int64_t minimum, std::int64_t maximum,
                                            FieldProblems &problems);

/** An entry whose value is a whole number in a closed range. */
template<typename T>
Field<T> countField(const FieldInfo &info, std::uint32_t T::*member, std::uint32_t minimum,
                    std::uint32_t maximum)
{
    Field<T> field;
    field.info = info;
    field.read = [=](const nlohmann::json &value, const std::string &pointer, T &target,
                     FieldProblems &problems) {
        if (const auto number = readWholeNumber(value, pointer, minimum, maximum, problems))
            target.*member = static_cast<std::uint32_t>(*number);
    };
    field.write = [member](const T &source) { return nlohmann::json(source.*member); };
    return field;
}

/** An entry whose value is a span of whole milliseconds. */
template<typename T>
Field<T> millisField(const FieldInfo &info, Millis T::*member, Millis minimum, Millis maximum)
{
    Field<T> field;
    field.info = info;
    field.read = [=](const nlohmann::json &value, const std::string &pointer, T &target,
                     FieldProblems &problems) {
        if (const auto number =
                readWholeNumber(value, pointer, minimum.count(), maximum.count(), problems))
            target.*member = Millis(*number);
    };
    field.write = [member](const T &source) { return nlohmann::json((source.*member).count()); };
    return field;
}

template<typename T>
Field<T> boolField(const FieldInfo &info, bool T::*member)
{
    Field<T> field;
    field.info = info;
    field.read = [=](const nlohmann::json &value, const std::string &pointer, T &target,
                     FieldProblems &problems) {
        if (!value.is_boolean())
            return problems.add(pointer, "must be true or false");
        target.*member = value.get<bool>();
    };
    field.write = [member](const T &source) { return nlohmann::json(source.*member); };
    return field;
}

/** An entry whose value is one of an enumeration's names. */
template<typename T, typename Enum, std::size_t Size>
Field<T> enumField(const FieldInfo &info, Enum T::*member, const NameTable<Enum, Size> &names)
{
    Field<T> field;
    field.info = info;
    field.read = [=](const nlohmann::json &value, const std::string &pointer, T &target,
                     FieldProblems &problems) {
        const auto found =
            value.is_string() ? names.value(value.get<std::string>()) : std::optional<Enum>();
        if (!found)
            return problems.add(pointer, "must be one of " + field.info.type);
        target.*member = *found;
    };
    field.write = [=](const T &source) {
        return nlohmann::json(std::string(names.name(source.*member)));
    };
    return field;
}

/** An entry whose value is an object with a table of its own. */
template<typename T, typename Inner>
Field<T> objectField(const FieldInfo &info, Inner T::*member)
{
    Field<T> field;
    field.info = info;
    field.read = [=](const nlohmann::json &value, const std::string &pointer, T &target,
                     FieldProblems &problems) {
        readFields(value, pointer, target.*member, problems);
    };
    field.write = [member](const T &source) { return writeFields(source.*member); };
    field.addNestedRows = [](const std::string &path, std::vector<SettingsPageRow> &rows) {
        addPageRows<Inner>(path, rows);
    };
    return field;
}

/** An entry whose value is a list of objects with a table of their own. */
template<typename T, typename Element>
Field<T> listField(const FieldInfo &info, std::vector<Element> T::*member)
{
    Field<T> field;
    field.info = info;
    field.read = [=](const nlohmann::json &value, const std::string &pointer, T &target,
                     FieldProblems &problems) {
        if (!value.is_array())
            return problems.add(pointer, "must be a list of objects");
        for (std::size_t i = 0; i < value.size(); ++i) {
            (target.*member).emplace_back();
            readFields(value[i], pointer + "/" + std::to_string(i), (target.*member).back(),
                       problems);
        }
    };
    field.write = [member](const T &source) {
        nlohmann::json list = nlohmann::json::array();
        for (const Element &element : source.*member)
            list.push_back(writeFields(element));
        return list;
    };
    field.addNestedRows = [](const std::string &path, std::vector<SettingsPageRow> &rows) {
        addPageRows<Element>(path + "/*", rows);
    };
    return field;
}

} // namespace detail

} // namespace cuminrail
