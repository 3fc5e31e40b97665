package org.persimmonrelay.timeline

import kotlinx.serialization.Serializable

/** A named value attached to an event. Values must not contain secrets. */
@Serializable
public data class EventField(val name: String, val value: String)

/** Creates a field, for example `"server" with id`. */
public infix fun String.with(value: Any?): EventField = EventField(this, value.toString())
