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
    fun `an empty selector matches everything`() {
        assertEquals(Selector.ALL, SelectorParser.parse("  ").getOrNull())
    }

    @Test
    fun `all operators are parsed`() {
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
    fun `syntax errors contain the position`() {
        val positions = mapOf(
            "a=1," to 4,
            "a in x" to 5,
            "a in (x" to 7,
            "a ! b" to 3,
            "=b" to 0,
            "a b" to 2,
            "a in ()" to 6,
        )

        positions.forEach { (text, position) ->
            val error = assertNotNull(SelectorParser.parse(text).leftOrNull(), text)
            assertEquals(position, error.position, error.message)
        }
    }

    @Property(seed = "7301", tries = 2_000)
    fun `selectors match the same labels as a naive evaluation`(
        @ForAll("requirements") requirements: List<NaiveRequirement>,
        @ForAll("labels") labels: Map<String, String>,
    ) {
        val text = requirements.joinToString(",") { it.text }

        val selector = assertNotNull(SelectorParser.parse(text).getOrNull(), text)

        assertEquals(requirements.all { it.holds(labels) }, selector.matches(labels), text)
    }

    @Property(seed = "7302", tries = 2_000)
    fun `any text is parsed or rejected with a position inside it`(@ForAll("noise") text: String) {
        val error = SelectorParser.parse(text).leftOrNull() ?: return

        assert(error.position in 0..text.length) { "$error" }
    }

    class NaiveRequirement(val text: String, val holds: (Map<String, String>) -> Boolean) {
        override fun toString(): String = text
    }

    @Provide
    fun requirements(): Arbitrary<List<NaiveRequirement>> =
        Combinators.combine(keys(), values(), values(), Arbitraries.integers().between(0, 6), whitespace())
            .`as`(::requirement)
            .list()
            .ofMaxSize(4)

    @Provide
    fun labels(): Arbitrary<Map<String, String>> = Arbitraries.maps(keys(), values()).ofMaxSize(3)

    @Provide
    fun noise(): Arbitrary<String> = Arbitraries.strings().withChars(*"ab=!(), in".toCharArray()).ofMaxLength(12)

    private fun requirement(key: String, one: String, two: String, operator: Int, space: String): NaiveRequirement =
        when (operator) {
            0 -> NaiveRequirement("$key$space=$space$one") { it[key] == one }
            1 -> NaiveRequirement("$key$space==$one$space") { it[key] == one }
            2 -> NaiveRequirement("$space$key!=$one") { it[key] != one }
            3 -> NaiveRequirement("$key in ($one,$space$two)") { it[key] == one || it[key] == two }
            4 -> NaiveRequirement("$key notin ($one$space,$two)") { it[key] != one && it[key] != two }
            5 -> NaiveRequirement("$space$key$space") { key in it.keys }
            else -> NaiveRequirement("!$space$key") { key !in it.keys }
        }

    private fun keys() = Arbitraries.of("zone", "tier", "in", "notin", "a.b/c")

    private fun values() = Arbitraries.of("a", "b", "in", "x-1")

    private fun whitespace() = Arbitraries.of("", " ", "  ")
}
