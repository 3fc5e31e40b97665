package org.persimmonrelay.settings

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.left
import arrow.core.nonEmptyListOf
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement

/** Parses settings and reports all errors at once. Values are validated only if the JSON has no schema errors. */
public class SettingsParser(private val validator: SettingsValidator = SettingsValidator()) {
    /** Parses the content of a settings file. */
    public fun parse(text: String): Either<NonEmptyList<SettingsError>, NodeSettings> {
        val root = parseJson(text).fold({ return nonEmptyListOf(it).left() }, { it })
        val schemaErrors = SettingsSchemaValidator.validate(NodeSettings.serializer().descriptor, root)
        schemaErrors.toNonEmptyListOrNull()?.let { return it.left() }
        val settings = JSON.decodeFromJsonElement(NodeSettings.serializer(), root)
        val valueErrors = validator.validate(settings)
        return valueErrors.toNonEmptyListOrNull()?.left() ?: settings.right()
    }

    private fun parseJson(text: String): Either<SettingsError, JsonElement> = try {
        JSON.parseToJsonElement(text).right()
    } catch (e: SerializationException) {
        val reason = e.message.orEmpty().lineSequence().first()
        SettingsError("$", "text that is not JSON", "one JSON object", "fix the syntax: $reason").left()
    }

    private companion object {
        val JSON = Json
    }
}
