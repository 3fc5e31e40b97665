package org.persimmonrelay.settings

import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.longOrNull

/** Checks a JSON tree against a serializable class for unknown, missing and wrongly typed fields. */
internal object SettingsSchemaValidator {
    fun validate(descriptor: SerialDescriptor, element: JsonElement, path: String = "$"): List<SettingsError> = when {
        element is JsonNull && descriptor.isNullable -> emptyList()
        descriptor.kind is PrimitiveKind -> primitive(descriptor, element, path)
        element is JsonObject -> fields(descriptor, element, path)
        else -> listOf(SettingsError(path, describe(element), "an object", "write the fields between { and }"))
    }

    private fun fields(descriptor: SerialDescriptor, element: JsonObject, path: String): List<SettingsError> {
        val names = (0 until descriptor.elementsCount).map(descriptor::getElementName)
        val unknown = element.keys.filterNot { it in names }.map { unknown(it, names, element, path) }
        val known = names.flatMapIndexed { index, name -> field(descriptor, index, element[name], "$path.$name") }
        return unknown + known
    }

    private fun field(
        descriptor: SerialDescriptor,
        index: Int,
        value: JsonElement?,
        path: String,
    ): List<SettingsError> {
        if (value != null) return validate(descriptor.getElementDescriptor(index), value, path)
        if (descriptor.isElementOptional(index)) return emptyList()
        val expected = typeName(descriptor.getElementDescriptor(index))
        return listOf(SettingsError(path, "nothing", expected, "add the field"))
    }

    private fun unknown(name: String, names: List<String>, element: JsonObject, path: String): SettingsError {
        val suggestion = names.filterNot { it in element }.firstOrNull {
            it.equals(name, ignoreCase = true) ||
                it.startsWith(name)
        }
        val remedy = if (suggestion == null) "remove it" else "remove it or name it $suggestion"
        return SettingsError("$path.$name", "an unknown field", "one of ${names.joinToString()}", remedy)
    }

    private fun primitive(descriptor: SerialDescriptor, element: JsonElement, path: String): List<SettingsError> {
        if (element is JsonPrimitive && element !is JsonNull && hasType(descriptor.kind, element)) return emptyList()
        val expected = typeName(descriptor)
        return listOf(SettingsError(path, describe(element), expected, "write $expected"))
    }

    private fun hasType(kind: Any, value: JsonPrimitive): Boolean = when (kind) {
        PrimitiveKind.STRING -> value.isString
        PrimitiveKind.INT -> !value.isString && value.longOrNull in Int.MIN_VALUE.toLong()..Int.MAX_VALUE.toLong()
        PrimitiveKind.LONG -> !value.isString && value.longOrNull != null
        PrimitiveKind.DOUBLE -> !value.isString && value.doubleOrNull != null
        else -> !value.isString && (value.content == "true" || value.content == "false")
    }

    private operator fun ClosedRange<Long>.contains(value: Long?): Boolean =
        value != null && value >= start && value <= endInclusive

    private fun typeName(descriptor: SerialDescriptor): String = when (descriptor.kind) {
        PrimitiveKind.STRING -> "a string"
        PrimitiveKind.INT, PrimitiveKind.LONG -> "a whole number"
        PrimitiveKind.DOUBLE -> "a number"
        PrimitiveKind.BOOLEAN -> "true or false"
        else -> "an object"
    }

    private fun describe(element: JsonElement): String = element.toString().take(MAX_SHOWN_CHARACTERS)

    private const val MAX_SHOWN_CHARACTERS = 60
}
