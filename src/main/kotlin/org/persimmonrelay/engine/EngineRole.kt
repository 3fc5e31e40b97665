package org.persimmonrelay.engine

import kotlinx.serialization.Serializable

/** What an engine runs: prefill, decode, or both. */
@Serializable
public enum class EngineRole { PREFILL, DECODE, MIXED }
