package org.persimmonrelay.entry

import org.persimmonrelay.engine.FinishReason
import org.persimmonrelay.engine.OutputChunk

/**
 * Puts the pieces of one answer in order over several attempts.
 *
 * Only pieces of the attempt begun last count; a piece that comes early waits for the ones before it, one that
 * was handed on already is dropped, and the answer ends only when the engine's end mark is next. Not thread-safe.
 */
public class AnswerAssembler(private val maxWaiting: Int = MAX_WAITING) {
    private val waiting = HashMap<Int, OutputChunk>()
    private var attempt = 0

    /** Offset of the next piece to hand on; where the next attempt resumes. */
    public var nextOffset: Int = 0
        private set

    /** Why the answer ended, once it did. */
    public var finish: FinishReason? = null
        private set

    /** True when so many pieces wait for a missing one that it has to be taken for lost. */
    public val isStuck: Boolean get() = waiting.size > maxWaiting

    /** True while pieces wait for a missing one. */
    public val hasGap: Boolean get() = waiting.isNotEmpty()

    /** From now on only pieces of [number] count. */
    public fun begin(number: Int) {
        attempt = number
        waiting.clear()
    }

    /** Takes in [piece] and adds what can be handed on to [ready]. */
    public fun accept(piece: OutputChunk, ready: MutableList<OutputChunk>) {
        if (finish != null || piece.attempt != attempt || piece.offset < nextOffset) return
        if (piece.offset > nextOffset) {
            waiting.putIfAbsent(piece.offset, piece)
            return
        }
        handOn(piece, ready)
        while (finish == null) handOn(waiting.remove(nextOffset) ?: return, ready)
    }

    private fun handOn(piece: OutputChunk, ready: MutableList<OutputChunk>) {
        ready += piece
        if (piece.text.isNotEmpty()) nextOffset++
        finish = piece.finish
    }

    private companion object {
        const val MAX_WAITING = 256
    }
}
