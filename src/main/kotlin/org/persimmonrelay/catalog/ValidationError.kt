package org.persimmonrelay.catalog

import kotlinx.serialization.Serializable

/** An error in a change: the path of the field, the error, and how to correct it. */
@Serializable
public data class ValidationError(val path: String, val message: String, val remedy: String)
