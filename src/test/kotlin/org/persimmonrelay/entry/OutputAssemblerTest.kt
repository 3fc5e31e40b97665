package org.persimmonrelay.entry

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.persimmonrelay.engine.FinishReason
import org.persimmonrelay.engine.OutputChunk
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Compares the assembler with plain concatenation of the chunks in the order in which they arrive. */
class OutputAssemblerTest {
    @Property(tries = SCHEDULES, seed = "20261204")
    fun `output is complete and in order despite lost, late, repeated and outdated chunks`(@ForAll seed: Long) {
        val run = Schedule(Random(seed)).run()

        assertEquals(run.expected, run.assembled)
        assertTrue(run.ended)
        schedules++
        if (run.concatenated != run.expected) concatenationErrors++
        if (schedules == SCHEDULES) {
            println(
                "OutputAssembler: $schedules schedules, violations: concatenation $concatenationErrors, assembler 0",
            )
            assertTrue(concatenationErrors > 0, "no schedule causes an error in plain concatenation")
        }
    }

    @Test
    fun `the output ends only when the chunk with the finish reason is next`() {
        val assembler = OutputAssembler().apply { startAttempt(1) }
        val output = mutableListOf<OutputChunk>()

        assembler.accept(OutputChunk(1, 2, "", FinishReason.STOP), output)
        assembler.accept(OutputChunk(1, 0, "a"), output)
        assertEquals(null, assembler.finish)
        assembler.accept(OutputChunk(1, 1, "b"), output)

        assertEquals("ab", output.joinToString("") { it.text })
        assertEquals(FinishReason.STOP, assembler.finish)
    }

    @Test
    fun `a chunk is considered lost when more chunks than the limit are buffered behind it`() {
        val assembler = OutputAssembler(maxBuffered = 3).apply { startAttempt(1) }

        (1..4).forEach { assembler.accept(OutputChunk(1, it, "x"), mutableListOf()) }

        assertTrue(assembler.isChunkLost)
        assertEquals(0, assembler.nextOffset)
    }

    /** Attempts that end early and lose, repeat, delay and reorder chunks; some arrive during a later attempt. */
    private class Schedule(private val random: Random) {
        private val length = random.nextInt(1, 40)
        private val tokens = List(length) { " t$it" }
        private val assembler = OutputAssembler()
        private val concatenated = StringBuilder()
        private val output = mutableListOf<OutputChunk>()
        private var late = emptyList<OutputChunk>()

        fun run(): Outcome {
            var attempt = 0
            while (assembler.finish == null) {
                attempt++
                assembler.startAttempt(attempt)
                receivedChunks(attempt).forEach(::receive)
            }
            return Outcome(
                tokens.joinToString(""),
                output.joinToString("") { it.text },
                concatenated.toString(),
                output.last().finish != null,
            )
        }

        private fun receivedChunks(attempt: Int): List<OutputChunk> {
            val from = assembler.nextOffset
            val all = (from..length).map { chunk(attempt, it) }
            if (attempt > LAST_FAULTY) return all
            val sent = all.take(random.nextInt(all.size + 1)).filter { random.nextDouble() > LOSS }
            val repeated = sent.filter { random.nextDouble() < REPEAT }
            val mixed = (sent + repeated + late).sortedBy { it.offset + random.nextInt(DELAY) }
            late = sent.filter { random.nextDouble() < REPEAT }
            return mixed
        }

        private fun chunk(attempt: Int, offset: Int) = if (offset ==
            length
        ) {
            OutputChunk(attempt, offset, "", FinishReason.STOP)
        } else {
            OutputChunk(attempt, offset, tokens[offset])
        }

        private fun receive(chunk: OutputChunk) {
            if (assembler.finish == null) concatenated.append(chunk.text)
            assembler.accept(chunk, output)
        }
    }

    private data class Outcome(
        val expected: String,
        val assembled: String,
        val concatenated: String,
        val ended: Boolean,
    )

    private companion object {
        const val SCHEDULES = 5_000
        const val LAST_FAULTY = 6
        const val LOSS = 0.05
        const val REPEAT = 0.1
        const val DELAY = 4
        var schedules = 0
        var concatenationErrors = 0
    }
}
