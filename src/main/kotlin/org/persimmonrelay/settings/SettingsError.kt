package org.persimmonrelay.settings

/** An error in a settings file: the JSON path, the value found, what was expected and how to fix it. */
public data class SettingsError(val path: String, val value: String, val expected: String, val remedy: String) {
    override fun toString(): String = "$path: found $value, expected $expected; $remedy"
}
