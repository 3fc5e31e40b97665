package org.persimmonrelay.timeline

/** Renders and checks the catalogue of all events, `docs/EVENTS.md`. */
public object EventCatalogue {
    /** The catalogue as a Markdown page. */
    public fun render(codes: List<EventCode>): String = buildString {
        appendLine("# Events")
        appendLine()
        appendLine(
            "Every event of the time line and the JSON log has one of these numbers. The page is generated from the",
        )
        appendLine("code; `mvn -B test -Dtest=EventCatalogueTest -DwriteEvents=true` writes it anew.")
        EventArea.entries.forEach { appendArea(it, codes) }
    }

    /** What is wrong with the numbers of [codes]; empty when each is unique and within an area. */
    public fun mistakes(codes: List<EventCode>): List<String> {
        val doubles =
            codes.groupBy { it.number }.filterValues { it.size > 1 }.map { (number, same) ->
                "$number is used by ${same.joinToString { describe(it) }}; give each its own number."
            }
        val misplaced =
            codes.filter { areaName(it) != EventArea.of(it.number)?.label }.map {
                "${describe(it)} has number ${it.number}, which is outside its package's range."
            }
        return doubles + misplaced
    }

    private fun StringBuilder.appendArea(area: EventArea, codes: List<EventCode>) {
        val own = codes.filter { it.number in area.numbers }.sortedBy { it.number }
        if (own.isEmpty()) return
        appendLine()
        appendLine("## ${area.label} (${area.numbers.first} to ${area.numbers.last})")
        appendLine()
        appendLine("| number | name | meaning |")
        appendLine("| --- | --- | --- |")
        own.forEach { appendLine("| ${it.number} | `${it.name}` | ${it.summary.replace("|", "\\|")} |") }
    }

    private fun describe(code: EventCode) = "${code.javaClass.simpleName}.${code.name}"

    private fun areaName(code: EventCode): String {
        val name = code.javaClass.packageName.substringAfterLast('.')
        return if (name == "cli") EventArea.SETTINGS.label else name
    }
}
