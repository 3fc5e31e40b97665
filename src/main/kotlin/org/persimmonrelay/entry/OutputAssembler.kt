package org.persimmonrelay.entry

import org.persimmonrelay.engine.FinishReason
import org.persimmonrelay.engine.OutputChunk

/**
 * Assembles the output of one request from the chunks of several attempts, in order and without duplicates.
 *
 * Only chunks of the current attempt are used. A chunk that arrives early is buffered until the ones before it have
 * arrived, and one that was already emitted is dropped. The output ends when the chunk with the finish reason is the
 * next in order. Not thread-safe.
 */
public class OutputAssembler(private val maxBuffered: Int = MAX_BUFFERED) {
    private val buffered = HashMap<Int, OutputChunk>()
    private var attempt = 0

    /** Offset of the next chunk to emit; the next attempt resumes from here. */
    public var nextOffset: Int = 0
        private set

    /** Why the output ended; null until it has. */
    public var finish: FinishReason? = null
        private set

    /** True when more than [maxBuffered] chunks are buffered behind a missing one, which is then considered lost. */
    public val isChunkLost: Boolean get() = buffered.size > maxBuffered

    /** True while chunks are buffered behind a missing one. */
    public val hasGap: Boolean get() = buffered.isNotEmpty()

    /** Makes [newAttempt] the current attempt and discards buffered chunks. */
    public fun startAttempt(newAttempt: Int) {
        attempt = newAttempt
        buffered.clear()
    }

    /** Adds [chunk] and appends the chunks that are now in order to [output]. */
    public fun accept(chunk: OutputChunk, output: MutableList<OutputChunk>) {
        if (finish != null || chunk.attempt != attempt || chunk.offset < nextOffset) return
        if (chunk.offset > nextOffset) {
            buffered.putIfAbsent(chunk.offset, chunk)
            return
        }
        emit(chunk, output)
        while (finish == null) emit(buffered.remove(nextOffset) ?: return, output)
    }

    private fun emit(chunk: OutputChunk, output: MutableList<OutputChunk>) {
        output += chunk
        if (chunk.text.isNotEmpty()) nextOffset++
        finish = chunk.finish
    }

    private companion object {
        const val MAX_BUFFERED = 256
    }
}
