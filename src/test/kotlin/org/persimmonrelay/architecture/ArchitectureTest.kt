package org.persimmonrelay.architecture

import com.tngtech.archunit.core.domain.JavaClass
import com.tngtech.archunit.core.domain.JavaClasses
import com.tngtech.archunit.core.importer.ClassFileImporter
import com.tngtech.archunit.core.importer.ImportOption
import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices
import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ArchitectureTest {
    @Test
    fun `packages depend on lower ones only`() {
        assertEquals(emptyList(), dependencies().filterNot { (from, to) -> isAllowed(from, to) })
    }

    @Test
    fun `every package has its place in the order`() {
        val known = LAYERS.flatten() + BESIDE

        assertEquals(emptyList(), classes.map(::concern).distinct().filterNot { it in known })
    }

    @Test
    fun `packages are free of cycles`() {
        slices().matching("$ROOT.(*)..").should().beFreeOfCycles().check(classes)
    }

    @Test
    fun `a rule against upward dependencies is not met by one`() {
        assertTrue(!isAllowed("peer", "membership"))
        assertTrue(!isAllowed("routing", "standin"))
        assertTrue(isAllowed("cli", "standin"))
    }

    @Test
    fun `files stay under their bound and no package is a grab bag`() {
        val sources = sequenceOf("src", "platform").flatMap { File(it).walk() }.filter { it.extension == "kt" }.toList()

        assertTrue(sources.isNotEmpty())
        assertEquals(emptyList(), sources.filter { it.readLines().size >= MAX_LINES }.map { it.path })
        assertEquals(emptyList(), sources.map { it.parentFile.name }.distinct().filter { it in GRAB_BAGS })
    }

    private fun dependencies(): Set<Pair<String, String>> = classes.flatMap { from ->
        from.directDependenciesFromSelf
            .map { it.targetClass.baseComponentType }
            .filter { it.packageName.startsWith("$ROOT.") }
            .map { concern(from) to concern(it) }
    }.filter { (from, to) -> from != to }.toSet()

    private fun isAllowed(from: String, to: String): Boolean {
        if (from in BESIDE) return to != "cli"
        if (to in BESIDE) return from == "cli"
        return layerOf(from) <= layerOf(to)
    }

    private fun layerOf(concern: String) = LAYERS.indexOfFirst { concern in it }

    private fun concern(type: JavaClass) = type.packageName.removePrefix("$ROOT.").substringBefore('.')

    private companion object {
        const val ROOT = "org.persimmonrelay"
        val classes: JavaClasses by lazy {
            ClassFileImporter().withImportOption(ImportOption.DoNotIncludeTests()).importPackages(ROOT)
        }
        const val MAX_LINES = 350
        val GRAB_BAGS = setOf("util", "utils", "common", "helpers", "misc")

        /** From the top downwards. A package may use those of its own layer, without cycles, and of lower ones. */
        val LAYERS =
            listOf(
                listOf("cli"),
                listOf("adapter"),
                listOf("node"),
                listOf("entry", "admin", "forward"),
                listOf("fleet", "routing", "fairness", "once", "usage", "catalog", "scale", "backend", "route", "load"),
                listOf("membership", "lease"),
                listOf("peer", "platform", "engine", "http"),
                listOf("timeline"),
                listOf("settings", "outcome", "identity", "clock"),
            )

        /** Used by the command line and by tests only. */
        val BESIDE = setOf("standin", "experiment", "measure")
    }
}
