package org.persimmonrelay.standin

import org.persimmonrelay.engine.OutputChunk
import kotlin.random.Random

/** What goes wrong with one stream after [afterTokens] tokens of it. */
public data class StreamFault(val kind: StreamFaultKind, val afterTokens: Int)

/** The connection breaks, or stays open and silent for good. */
public enum class StreamFaultKind { DISCONNECT, STALL }

/**
 * How a stand-in engine misbehaves; tests set it at any time.
 *
 * Shares are from 0 to 1, per piece: lost for good, sent twice, or sent after its successor.
 */
public class EngineFaults(private val random: Random = Random(DEFAULT_SEED)) {
    @Volatile
    public var lossRate: Double = 0.0

    @Volatile
    public var duplicationRate: Double = 0.0

    @Volatile
    public var reorderRate: Double = 0.0

    private val coming = ArrayDeque<StreamFault>()

    /** Lets the next stream that begins suffer [fault]; several calls line up. */
    @Synchronized
    public fun enqueue(fault: StreamFault) {
        coming.addLast(fault)
    }

    @Synchronized
    internal fun take(): StreamFault? = coming.removeFirstOrNull()

    internal fun disorder(): PieceDisorder? =
        if (lossRate + duplicationRate + reorderRate == 0.0) null else PieceDisorder(this)

    @Synchronized
    internal fun draw(): Double = random.nextDouble()

    private companion object {
        const val DEFAULT_SEED = 7
    }
}

/** Loses, repeats and holds back pieces of one stream. */
internal class PieceDisorder(private val faults: EngineFaults) {
    private var held: OutputChunk? = null

    /** What leaves the engine in place of [piece]. */
    fun pass(piece: OutputChunk): List<OutputChunk> {
        val earlier = held.also { held = null }
        if (piece.finish != null) return listOfNotNull(piece, earlier)
        val draw = faults.draw()
        val late = faults.lossRate + faults.duplicationRate
        return when {
            draw < faults.lossRate -> listOfNotNull(earlier)
            draw < late -> listOfNotNull(piece, piece, earlier)
            draw < late + faults.reorderRate -> listOfNotNull(earlier).also { held = piece }
            else -> listOfNotNull(piece, earlier)
        }
    }
}
