package org.persimmonrelay.entry

import org.persimmonrelay.engine.OutputChunk
import org.persimmonrelay.outcome.Refusal

/** What a caller's answer consists of, in order. */
public sealed interface AnswerEvent {
    /** The next pieces; the last one of the answer carries the end mark. */
    public class Pieces(public val pieces: List<OutputChunk>) : AnswerEvent

    /** The answer ends without its end mark. */
    public class Failed(public val refusal: Refusal) : AnswerEvent
}
