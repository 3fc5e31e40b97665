package org.persimmonrelay.timeline

import com.tngtech.archunit.core.domain.JavaClass
import com.tngtech.archunit.core.importer.ClassFileImporter
import com.tngtech.archunit.core.importer.ImportOption
import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class EventCatalogueTest {
    private val page = File("docs/EVENTS.md")

    @Test
    fun `every event has a unique number in its package's range`() {
        assertEquals(emptyList(), EventCatalogue.validate(codes()))
    }

    @Test
    fun `the page matches the events in the code`() {
        val rendered = EventCatalogue.render(codes())
        if (System.getProperty("writeEvents") == "true") page.writeText(rendered)

        assertEquals(rendered, page.readText(), "docs/EVENTS.md is out of date; run the command at its top.")
    }

    @Test
    fun `duplicate and out-of-range numbers are reported`() {
        val errors = EventCatalogue.validate(Misnumbered.entries)

        assertEquals(3, errors.size)
        assertTrue(errors.any { "1901 is used by" in it })
    }

    private fun codes(): List<EventCode> = ClassFileImporter()
        .withImportOption(ImportOption.DoNotIncludeTests())
        .importPackages("org.persimmonrelay")
        .filter { it.isEnum && it.isAssignableTo(EventCode::class.java) }
        .flatMap(::constants)

    private fun constants(type: JavaClass): List<EventCode> =
        Class.forName(type.name).enumConstants.filterIsInstance<EventCode>()

    private enum class Misnumbered(override val number: Int, override val summary: String) : EventCode {
        FIRST(1901, "one"),
        SECOND(1901, "two"),
    }
}
