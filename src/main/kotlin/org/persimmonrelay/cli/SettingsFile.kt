package org.persimmonrelay.cli

import arrow.core.Either
import arrow.core.left
import org.persimmonrelay.settings.NodeSettings
import org.persimmonrelay.settings.SettingsError
import org.persimmonrelay.settings.SettingsParser
import java.io.File
import java.io.IOException

/** Reads and validates the settings of a node from a file; an unreadable file is one error. */
internal class SettingsFile(private val file: File, private val parser: SettingsParser = SettingsParser()) {
    fun read(): Either<List<SettingsError>, NodeSettings> {
        val text =
            try {
                file.readText()
            } catch (e: IOException) {
                return listOf(unreadable(e)).left()
            }
        return parser.parse(text)
    }

    private fun unreadable(e: IOException) =
        SettingsError("$file", "unreadable file (${e.message})", "a JSON file", "check the path and its permissions")
}
