package org.persimmonrelay.timeline

/** One detail of an event. Values must never hold secrets. */
public data class EventField(val name: String, val value: String)

/** Builds a field; reads as `"server" with id`. */
public infix fun String.with(value: Any?): EventField = EventField(this, value.toString())
