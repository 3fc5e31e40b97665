package org.persimmonrelay.catalog

import kotlinx.serialization.Serializable

/** Something wrong with a change: where, what, and how to put it right. */
@Serializable
public data class ValidationError(val path: String, val message: String, val remedy: String)
