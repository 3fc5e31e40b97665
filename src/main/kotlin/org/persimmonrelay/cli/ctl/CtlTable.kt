package org.persimmonrelay.cli.ctl

import java.io.PrintStream

/** Prints rows as a table with aligned columns and [headers]. */
internal class CtlTable(private val headers: List<String>) {
    fun print(rows: List<List<String>>, out: PrintStream) {
        val widths = headers.indices.map { column -> (rows + listOf(headers)).maxOf { it[column].length } }
        (listOf(headers) + rows).forEach { row -> out.println(line(row, widths)) }
    }

    private fun line(row: List<String>, widths: List<Int>): String =
        row.indices.joinToString("  ") { row[it].padEnd(widths[it]) }.trimEnd()
}
