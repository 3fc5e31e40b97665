package org.persimmonrelay.standin

import org.persimmonrelay.engine.OutputChunk
import kotlin.random.Random

/** A fault of one output stream that occurs after [afterTokens] tokens have been sent. */
public data class StreamFault(val kind: StreamFaultKind, val afterTokens: Int)

/** The connection is closed, or stays open without any more data. */
public enum class StreamFaultKind { DISCONNECT, STALL }

/**
 * Faults that a stand-in engine injects; tests may change them at any time.
 *
 * A rate is the probability, from 0 to 1, that an output chunk is lost, sent twice, or sent after the next chunk.
 */
public class EngineFaults(private val random: Random = Random(DEFAULT_SEED)) {
    @Volatile
    public var lossRate: Double = 0.0

    @Volatile
    public var duplicationRate: Double = 0.0

    @Volatile
    public var reorderRate: Double = 0.0

    private val queue = ArrayDeque<StreamFault>()

    /** Adds [fault] to a queue; each stream that starts takes the first fault from the queue. */
    @Synchronized
    public fun enqueue(fault: StreamFault) {
        queue.addLast(fault)
    }

    @Synchronized
    internal fun nextStreamFault(): StreamFault? = queue.removeFirstOrNull()

    internal fun chunkFaultInjector(): ChunkFaultInjector? =
        if (lossRate + duplicationRate + reorderRate == 0.0) null else ChunkFaultInjector(this)

    @Synchronized
    internal fun draw(): Double = random.nextDouble()

    private companion object {
        const val DEFAULT_SEED = 7
    }
}

/** Drops, duplicates and reorders the output chunks of one stream. */
internal class ChunkFaultInjector(private val faults: EngineFaults) {
    private var delayed: OutputChunk? = null

    /** Returns the chunks to send now in place of [chunk]; empty when it was dropped or delayed. */
    fun process(chunk: OutputChunk): List<OutputChunk> {
        val previous = delayed.also { delayed = null }
        if (chunk.finish != null) return listOfNotNull(chunk, previous)
        val draw = faults.draw()
        val reorderFrom = faults.lossRate + faults.duplicationRate
        return when {
            draw < faults.lossRate -> listOfNotNull(previous)
            draw < reorderFrom -> listOfNotNull(chunk, chunk, previous)
            draw < reorderFrom + faults.reorderRate -> listOfNotNull(previous).also { delayed = chunk }
            else -> listOfNotNull(chunk, previous)
        }
    }
}
