package org.persimmonrelay.settings

import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.StructureKind
import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals

class SettingsPageTest {
    @Test
    fun `the settings page lists exactly the fields of the settings`() {
        val listed =
            File("docs/SETTINGS.md")
                .readLines()
                .filter { it.startsWith("| `") }
                .flatMap { NAME.findAll(it.split("|")[1]).map { match -> match.groupValues[1] } }

        assertEquals(fields(NodeSettings.serializer().descriptor).sorted(), listed.sorted())
    }

    private fun fields(descriptor: SerialDescriptor, path: String = ""): List<String> =
        (0 until descriptor.elementsCount).flatMap { index ->
            val name = path + descriptor.getElementName(index)
            val element = descriptor.getElementDescriptor(index)
            if (element.kind == StructureKind.CLASS) fields(element, "$name.") else listOf(name)
        }

    private companion object {
        val NAME = Regex("`([^`]+)`")
    }
}
