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

/** Reads settings and reports every mistake at once, first those of form, then those of content. */
public class SettingsParser(private val validator: SettingsValidator = SettingsValidator()) {
    /** Parses [text], the content of a settings file. */
    public fun parse(text: String): Either<NonEmptyList<SettingsError>, NodeSettings> {
        val root = parseJson(text).fold({ return nonEmptyListOf(it).left() }, { it })
        val ofForm = SettingsShape.mistakes(NodeSettings.serializer().descriptor, root)
        ofForm.toNonEmptyListOrNull()?.let { return it.left() }
        val settings = JSON.decodeFromJsonElement(NodeSettings.serializer(), root)
        val ofContent = validator.mistakes(settings)
        return ofContent.toNonEmptyListOrNull()?.left() ?: settings.right()
    }

    private fun parseJson(text: String): Either<SettingsError, JsonElement> = try {
        JSON.parseToJsonElement(text).right()
    } catch (e: SerializationException) {
        val reason = e.message.orEmpty().lineSequence().first()
        SettingsError("$", "text that is not JSON", "one JSON object", "mend the syntax: $reason").left()
    }

    private companion object {
        val JSON = Json
    }
}
