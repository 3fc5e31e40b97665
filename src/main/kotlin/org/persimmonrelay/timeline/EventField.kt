package org.persimmonrelay.timeline

import kotlinx.serialization.Serializable

/** One detail of an event. Values must never hold secrets. */
@Serializable
public data class EventField(val name: String, val value: String)

/** Builds a field; reads as `"server" with id`. */
public infix fun String.with(value: Any?): EventField = EventField(this, value.toString())
