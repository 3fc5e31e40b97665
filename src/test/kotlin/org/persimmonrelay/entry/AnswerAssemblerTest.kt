package org.persimmonrelay.entry

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.persimmonrelay.engine.FinishReason
import org.persimmonrelay.engine.OutputChunk
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** The assembler against a naive one that concatenates what arrives. */
class AnswerAssemblerTest {
    @Property(tries = SCHEDULES, seed = "20261204")
    fun `no schedule of loss, delay, repeats and late attempts makes a gap, a repeat or a foreign piece`(
        @ForAll seed: Long,
    ) {
        val run = Schedule(Random(seed)).run()

        assertEquals(run.expected, run.assembled)
        assertTrue(run.ended)
        schedules++
        if (run.naive != run.expected) naiveViolations++
        if (schedules == SCHEDULES) {
            println("AnswerAssembler: $schedules schedules, violations: naive $naiveViolations, ours 0")
            assertTrue(naiveViolations > 0, "the schedules never trouble the naive assembler")
        }
    }

    @Test
    fun `the answer ends only when the end mark is next`() {
        val assembler = AnswerAssembler().apply { begin(1) }
        val ready = mutableListOf<OutputChunk>()

        assembler.accept(OutputChunk(1, 2, "", FinishReason.STOP), ready)
        assembler.accept(OutputChunk(1, 0, "a"), ready)
        assertEquals(null, assembler.finish)
        assembler.accept(OutputChunk(1, 1, "b"), ready)

        assertEquals("ab", ready.joinToString("") { it.text })
        assertEquals(FinishReason.STOP, assembler.finish)
    }

    @Test
    fun `pieces that wait for a lost one make the assembler stuck at its bound`() {
        val assembler = AnswerAssembler(maxWaiting = 3).apply { begin(1) }

        (1..4).forEach { assembler.accept(OutputChunk(1, it, "x"), mutableListOf()) }

        assertTrue(assembler.isStuck)
        assertEquals(0, assembler.nextOffset)
    }

    /** Attempts that each end early, lose, repeat, delay and reorder pieces; late ones arrive in later attempts. */
    private class Schedule(private val random: Random) {
        private val length = random.nextInt(1, 40)
        private val tokens = List(length) { " t$it" }
        private val assembler = AnswerAssembler()
        private val naive = StringBuilder()
        private val ready = mutableListOf<OutputChunk>()
        private var late = emptyList<OutputChunk>()

        fun run(): Outcome {
            var attempt = 0
            while (assembler.finish == null) {
                attempt++
                assembler.begin(attempt)
                arrivals(attempt).forEach(::arrive)
            }
            return Outcome(
                tokens.joinToString(""),
                ready.joinToString("") { it.text },
                naive.toString(),
                ready.last().finish != null,
            )
        }

        private fun arrivals(attempt: Int): List<OutputChunk> {
            val from = assembler.nextOffset
            val all = (from..length).map { piece(attempt, it) }
            if (attempt > LAST_FAULTY) return all
            val sent = all.take(random.nextInt(all.size + 1)).filter { random.nextDouble() > LOSS }
            val repeated = sent.filter { random.nextDouble() < REPEAT }
            val mixed = (sent + repeated + late).sortedBy { it.offset + random.nextInt(DELAY) }
            late = sent.filter { random.nextDouble() < REPEAT }
            return mixed
        }

        private fun piece(attempt: Int, offset: Int) = if (offset ==
            length
        ) {
            OutputChunk(attempt, offset, "", FinishReason.STOP)
        } else {
            OutputChunk(attempt, offset, tokens[offset])
        }

        private fun arrive(piece: OutputChunk) {
            if (assembler.finish == null) naive.append(piece.text)
            assembler.accept(piece, ready)
        }
    }

    private data class Outcome(val expected: String, val assembled: String, val naive: String, val ended: Boolean)

    private companion object {
        const val SCHEDULES = 5_000
        const val LAST_FAULTY = 6
        const val LOSS = 0.05
        const val REPEAT = 0.1
        const val DELAY = 4
        var schedules = 0
        var naiveViolations = 0
    }
}
