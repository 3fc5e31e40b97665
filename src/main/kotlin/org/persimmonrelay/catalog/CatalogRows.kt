package org.persimmonrelay.catalog

/** Names of the table rows and stored objects that contain the configuration. */
internal object CatalogRows {
    const val HEAD = "config/head"
    const val CHANGE_PREFIX = "config/change/"
    const val SNAPSHOT_PREFIX = "config/snapshot/"
    private const val DIGITS = 12

    fun change(version: Long): String = CHANGE_PREFIX + padded(version)

    fun snapshot(version: Long): String = SNAPSHOT_PREFIX + padded(version)

    /** The version in the name of a change row or a snapshot; null for other names. */
    fun versionIn(name: String): Long? = name.substringAfterLast('/').toLongOrNull()

    private fun padded(version: Long) = version.toString().padStart(DIGITS, '0')
}
