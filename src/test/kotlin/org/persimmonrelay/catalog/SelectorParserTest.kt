package org.persimmonrelay.catalog

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

class SelectorParserTest {
    @Test
    fun `an empty selector picks everything`() {
        assertEquals(Selector.ALL, SelectorParser.parse("  ").getOrNull())
    }

    @Test
    fun `every operator is understood`() {
        val parsed = SelectorParser.parse("a=1, b == 2,c!=3, d in (x, y) ,e notin(z),f,!g, in in (in)").getOrNull()

        assertEquals(
            listOf(
                Requirement.Equal("a", "1"),
                Requirement.Equal("b", "2"),
                Requirement.NotEqual("c", "3"),
                Requirement.In("d", setOf("x", "y")),
                Requirement.NotIn("e", setOf("z")),
                Requirement.Exists("f"),
                Requirement.Absent("g"),
                Requirement.In("in", setOf("in")),
            ),
            parsed?.requirements,
        )
    }

    @Test
    fun `mistakes say where and what was expected`() {
        val places = mapOf(
            "a=1," to 4,
            "a in x" to 5,
            "a in (x" to 7,
            "a ! b" to 3,
            "=b" to 0,
            "a b" to 2,
            "a in ()" to 6,
        )

        places.forEach { (text, position) ->
            val error = assertNotNull(SelectorParser.parse(text).leftOrNull(), text)
            assertEquals(position, error.position, error.message)
        }
    }

    @Property(seed = "7301", tries = 2_000)
    fun `selectors pick what a naive evaluation picks`(
        @ForAll("requirements") requirements: List<NaiveRequirement>,
        @ForAll("labels") labels: Map<String, String>,
    ) {
        val text = requirements.joinToString(",") { it.text }

        val selector = assertNotNull(SelectorParser.parse(text).getOrNull(), text)

        assertEquals(requirements.all { it.holds(labels) }, selector.matches(labels), text)
    }

    @Property(seed = "7302", tries = 2_000)
    fun `any text is either read or refused with a place inside it`(@ForAll("noise") text: String) {
        val error = SelectorParser.parse(text).leftOrNull() ?: return

        assert(error.position in 0..text.length) { "$error" }
    }

    class NaiveRequirement(val text: String, val holds: (Map<String, String>) -> Boolean) {
        override fun toString(): String = text
    }

    @Provide
    fun requirements(): Arbitrary<List<NaiveRequirement>> =
        Combinators.combine(keys(), values(), values(), Arbitraries.integers().between(0, 6), blanks())
            .`as`(::requirement)
            .list()
            .ofMaxSize(4)

    @Provide
    fun labels(): Arbitrary<Map<String, String>> = Arbitraries.maps(keys(), values()).ofMaxSize(3)

    @Provide
    fun noise(): Arbitrary<String> = Arbitraries.strings().withChars(*"ab=!(), in".toCharArray()).ofMaxLength(12)

    private fun requirement(key: String, one: String, two: String, operator: Int, blank: String): NaiveRequirement =
        when (operator) {
            0 -> NaiveRequirement("$key$blank=$blank$one") { it[key] == one }
            1 -> NaiveRequirement("$key$blank==$one$blank") { it[key] == one }
            2 -> NaiveRequirement("$blank$key!=$one") { it[key] != one }
            3 -> NaiveRequirement("$key in ($one,$blank$two)") { it[key] == one || it[key] == two }
            4 -> NaiveRequirement("$key notin ($one$blank,$two)") { it[key] != one && it[key] != two }
            5 -> NaiveRequirement("$blank$key$blank") { key in it.keys }
            else -> NaiveRequirement("!$blank$key") { key !in it.keys }
        }

    private fun keys() = Arbitraries.of("zone", "tier", "in", "notin", "a.b/c")

    private fun values() = Arbitraries.of("a", "b", "in", "x-1")

    private fun blanks() = Arbitraries.of("", " ", "  ")
}
