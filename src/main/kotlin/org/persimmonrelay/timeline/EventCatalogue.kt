package org.persimmonrelay.timeline

/** Renders and validates the catalogue of all events, `docs/EVENTS.md`. */
public object EventCatalogue {
    /** Renders the catalogue as Markdown. */
    public fun render(codes: List<EventCode>): String = buildString {
        appendLine("# Events")
        appendLine()
        appendLine(
            "Every event of the time line and the JSON log has one of these numbers. The page is generated from the",
        )
        appendLine("code; `mvn -B test -Dtest=EventCatalogueTest -DwriteEvents=true` regenerates it.")
        EventArea.entries.forEach { appendArea(it, codes) }
    }

    /** Errors in the numbers of [codes]; empty if each is unique and in the range of its package. */
    public fun validate(codes: List<EventCode>): List<String> {
        val duplicates =
            codes.groupBy { it.number }.filterValues { it.size > 1 }.map { (number, same) ->
                "$number is used by ${same.joinToString { describe(it) }}; give each its own number."
            }
        val misplaced =
            codes.filter { areaName(it) != EventArea.of(it.number)?.label }.map {
                "${describe(it)} has number ${it.number}, which is outside its package's range."
            }
        return duplicates + misplaced
    }

    private fun StringBuilder.appendArea(area: EventArea, codes: List<EventCode>) {
        val areaCodes = codes.filter { it.number in area.numbers }.sortedBy { it.number }
        if (areaCodes.isEmpty()) return
        appendLine()
        appendLine("## ${area.label} (${area.numbers.first} to ${area.numbers.last})")
        appendLine()
        appendLine("| number | name | meaning |")
        appendLine("| --- | --- | --- |")
        areaCodes.forEach { appendLine("| ${it.number} | `${it.name}` | ${it.summary.replace("|", "\\|")} |") }
    }

    private fun describe(code: EventCode) = "${code.javaClass.simpleName}.${code.name}"

    private fun areaName(code: EventCode): String {
        val name = code.javaClass.packageName.substringAfterLast('.')
        return if (name == "cli") EventArea.SETTINGS.label else name
    }
}
