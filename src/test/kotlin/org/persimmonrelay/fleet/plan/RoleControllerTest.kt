package org.persimmonrelay.fleet.plan

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.DoubleRange
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.engine.EngineProfile
import org.persimmonrelay.engine.EngineRole
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.routing.Demand
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class RoleControllerTest {
    private val profile = EngineProfile()
    private val settings = RoleSettings()

    @Property(seed = "41", tries = 40)
    fun `under a steady mix roles become stable with at most two changes per engine`(
        @ForAll @DoubleRange(min = 0.05, max = 0.95) share: Double,
    ) {
        val engines = engines()
        val changes = drive(engines, 0..400) { share }

        assertTrue(changes.groupingBy { it.second.server }.eachCount().values.all { it <= 2 })
        assertTrue(changes.none { it.first > 300 })
    }

    @Property(seed = "42", tries = 40)
    fun `when the mix changes only a limited share changes roles and each domain can still serve`(
        @ForAll @DoubleRange(min = 0.05, max = 0.95) from: Double,
        @ForAll @DoubleRange(min = 0.05, max = 0.95) to: Double,
    ) {
        val engines = engines()

        drive(engines, 0..300) { second -> if (second < 100) from else to }
    }

    @Test
    fun `a single engine in its failure domain becomes mixed`() {
        val alone = RoleEngine(ServerId("a"), FailureDomain("d"), EngineRole.PREFILL, changing = false)

        val changes = RoleController(settings, profile).decide(listOf(alone), Moment.ZERO)

        assertEquals(listOf(RoleChange(alone.server, EngineRole.MIXED)), changes)
    }

    /** Runs a controller over [seconds]; a change takes 12 s. Returns the changes with the seconds of decision. */
    private fun drive(
        engines: MutableList<RoleEngine>,
        seconds: IntRange,
        share: (Int) -> Double,
    ): List<Pair<Int, RoleChange>> {
        val controller = RoleController(settings, profile)
        val backAt = HashMap<ServerId, Int>()
        val changes = ArrayList<Pair<Int, RoleChange>>()
        for (second in seconds) {
            val now = Moment.ZERO + second.seconds
            engines.replaceAll { if (backAt[it.server] == second) it.copy(changing = false) else it }
            controller.observe(demand(share(second)), now)
            controller.decide(engines, now).forEach { next ->
                engines.replaceAll { if (it.server == next.server) it.copy(role = next.role, changing = true) else it }
                backAt[next.server] = second + 12
                changes += second to next
            }
            assertTrue(engines.count { it.changing } <= engines.size * settings.maxShareAtOnce)
            engines.groupBy { it.domain }.values.forEach { domain ->
                assertTrue(domain.any { it.role != EngineRole.DECODE } && domain.any { it.role != EngineRole.PREFILL })
            }
        }
        return changes
    }

    private fun demand(share: Double): Demand {
        val work = 6.0
        return Demand(
            promptTokens = work * share / profile.prefillCost,
            outputLimit = work * (1 - share) / profile.decodeCost,
            prefilledTokens = 1.0,
            endedOutputLimit = 1.0,
            generatedTokens = 1.0,
        )
    }

    private fun engines(): MutableList<RoleEngine> = MutableList(9) { index ->
        val role = if (index % 3 == 0) EngineRole.PREFILL else EngineRole.DECODE
        RoleEngine(ServerId("e$index"), FailureDomain("d${index / 3}"), role, changing = false)
    }
}
