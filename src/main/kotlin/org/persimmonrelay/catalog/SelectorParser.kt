/*
 * Grammar of label selectors:
 *
 *     selector    = [ requirement { "," requirement } ]
 *     requirement = key | "!" key | key ("=" | "==" | "!=") [ value ] | key ("in" | "notin") set
 *     set         = "(" value { "," value } ")"
 *
 * Keys and values consist of letters, digits and `-_./`. White space is allowed between tokens.
 */
package org.persimmonrelay.catalog

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either

/** Parses label selectors; the grammar is at the top of this file. */
public object SelectorParser {
    /** The selector in [text], or its first syntax error. */
    public fun parse(text: String): Either<SelectorError, Selector> = either { SelectorScanner(text, this).selector() }

    /** True for characters that keys and values may contain. */
    public fun isWordCharacter(char: Char): Boolean =
        char in 'a'..'z' || char in 'A'..'Z' || char in '0'..'9' || char in "-_./"
}

private class SelectorScanner(private val text: String, private val raise: Raise<SelectorError>) {
    private var position = 0

    fun selector(): Selector {
        skipWhitespace()
        if (atEnd()) return Selector.ALL
        val requirements = mutableListOf(requirement())
        while (!atEnd()) {
            expect(',', "\",\" or the end")
            requirements += requirement()
        }
        return Selector(requirements)
    }

    private fun requirement(): Requirement {
        if (consume('!')) return Requirement.Absent(word("a label key after \"!\""))
        val key = word("a label key or \"!\"")
        return when {
            atEnd() || peek() == ',' -> Requirement.Exists(key)
            consume('!') -> {
                expect('=', "\"=\" after \"!\"", skipBefore = false)
                Requirement.NotEqual(key, optionalWord())
            }
            consume('=') -> {
                consume('=')
                Requirement.Equal(key, optionalWord())
            }
            else -> setRequirement(key)
        }
    }

    private fun setRequirement(key: String): Requirement {
        val start = position
        val operator = optionalWord()
        return when (operator) {
            "in" -> Requirement.In(key, values())
            "notin" -> Requirement.NotIn(key, values())
            else -> fail(start, "\"=\", \"==\", \"!=\", \"in\", \"notin\", \",\" or the end")
        }
    }

    private fun values(): Set<String> {
        expect('(', "\"(\"")
        val values = mutableSetOf(word("a value"))
        while (consume(',')) values += word("a value")
        expect(')', "\",\" or \")\"")
        return values
    }

    private fun word(expected: String): String {
        skipWhitespace()
        val start = position
        return optionalWord().ifEmpty { fail(start, expected) }
    }

    private fun optionalWord(): String {
        skipWhitespace()
        val start = position
        while (!atEnd() && SelectorParser.isWordCharacter(text[position])) position++
        val word = text.substring(start, position)
        skipWhitespace()
        return word
    }

    private fun expect(char: Char, expected: String, skipBefore: Boolean = true) {
        if (skipBefore) skipWhitespace()
        if (atEnd() || text[position] != char) fail(position, expected)
        position++
        skipWhitespace()
    }

    private fun consume(char: Char): Boolean {
        if (atEnd() || text[position] != char) return false
        position++
        if (char != '!') skipWhitespace()
        return true
    }

    private fun peek(): Char = text[position]

    private fun atEnd(): Boolean = position >= text.length

    private fun skipWhitespace() {
        while (!atEnd() && text[position].isWhitespace()) position++
    }

    private fun fail(at: Int, expected: String): Nothing {
        val found = if (at >= text.length) "the end" else "\"${text[at]}\""
        raise.raise(SelectorError(text, at, expected, found))
    }
}
