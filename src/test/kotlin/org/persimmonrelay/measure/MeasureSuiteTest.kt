package org.persimmonrelay.measure

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

class MeasureSuiteTest {
    private val exact = listOf(MeasurePoint(1.0, 5.0), MeasurePoint(2.0, 7.0), MeasurePoint(3.0, 9.0))

    @Test
    fun `a line is fitted with the standard error of its slope`() {
        val slope = Slope.fit("state", "bytes", "peer", exact)
        val noisy = Slope.fit("state", "bytes", "peer", exact + MeasurePoint(3.0, 12.0))

        assertEquals(2.0, slope.slope, TOLERANCE)
        assertEquals(23.0, slope.at(10.0), TOLERANCE)
        assertEquals(0.0, slope.spread, TOLERANCE)
        assertTrue(noisy.spread > 0.1)
    }

    @Test
    fun `a fit over two different sizes is rejected`() {
        assertFailsWith<IllegalArgumentException> { Slope.fit("state", "bytes", "peer", exact.take(2) + exact.first()) }
    }

    @Test
    fun `only the selected measures run and unknown names are rejected`() {
        val suite = MeasureSuite(listOf(fixed("one"), fixed("two")))

        assertEquals(listOf("two"), suite.run(setOf("two")).slopes.map { it.name })
        assertEquals(2, suite.run().slopes.size)
        assertFailsWith<IllegalArgumentException> { suite.run(setOf("three")) }
    }

    @Test
    fun `a small mesh is measured and reported as table and JSON`() {
        val report = MeasureSuite(listOf(MeshMeasure(listOf(3, 5, 7)))).run()

        assertTrue(report.slopes.all { slope -> slope.points.all { it.y > 0 } })
        assertTrue("membership bytes per node" in report.toTable())
        assertTrue("\"spread\"" in report.toJson())
    }

    private fun fixed(measure: String) = object : Measure {
        override val name = measure

        override fun run() = listOf(Slope.fit(measure, "bytes", "peer", exact))
    }

    private companion object {
        const val TOLERANCE = 1e-9
    }
}
