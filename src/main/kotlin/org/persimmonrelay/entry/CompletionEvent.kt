package org.persimmonrelay.entry

import org.persimmonrelay.engine.OutputChunk
import org.persimmonrelay.outcome.Refusal

/** Events of one completion, in the order in which they are sent to the caller. */
public sealed interface CompletionEvent {
    /** The next output chunks; the last chunk of a complete output has a finish reason. */
    public class Output(public val chunks: List<OutputChunk>) : CompletionEvent

    /** The completion failed before its output was complete. */
    public class Failed(public val refusal: Refusal) : CompletionEvent
}
