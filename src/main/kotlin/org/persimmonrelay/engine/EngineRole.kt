package org.persimmonrelay.engine

import kotlinx.serialization.Serializable

/** What an engine works on: prompts, output tokens, or both. */
@Serializable
public enum class EngineRole { PREFILL, DECODE, MIXED }
