package org.persimmonrelay.settings

/** One mistake in a settings file: where, what stands there, what was expected and how to mend it. */
public data class SettingsError(val path: String, val value: String, val expected: String, val remedy: String) {
    override fun toString(): String = "$path: found $value, expected $expected; $remedy"
}
