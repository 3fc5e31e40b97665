package org.persimmonrelay.forward

/** Responses that break the grammar of HTTP/1.1, and unusual ones that keep it. Used by the tests of all clients. */
object InvalidResponses {
    /** Status lines whose version or status is not one that HTTP/1.1 allows, or whose parts are not as it says. */
    val statusLines = listOf(
        "HTTP/1.1 000 OK",
        "HTTP/1.1 0 OK",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 099 OK",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 0200 OK",
        "HTTP/1.1 600 OK",
        "HTTP/1.1 999 OK",
        "HTTP/1.1 +200 OK",
        "HTTP/1.1 +20 OK",
        "HTTP/1.1 -200 OK",
        "HTTP/1.1 0x1 OK",
        "HTTP/1.1 2OO OK",
        "HTTP/1.1 200OK",
        "HTTP/1.1 OK",
        "HTTP/1.1  200 OK",
        "HTTP/1.1\t200 OK",
        "HTTP/1.1 200\tOK",
        "HTTP/1.1 200 O\u0001K",
        " HTTP/1.1 200 OK",
        "HTTP/2.0 200 OK",
        "HTTP/1.2 200 OK",
        "HTTP/1.10 200 OK",
        "HTTP/0.9 200 OK",
        "HTTP/1 200 OK",
        "http/1.1 200 OK",
        "HTTQ/1.1 200 OK",
        "ICY 200 OK",
    )

    /** Lines that are no fields, for a head or for trailers. */
    val fieldLines = listOf(
        "X Bad: 1",
        "X\tBad: 1",
        "X-Bad : 1",
        "X-Bad\t: 1",
        "Server-Stamp : other",
        " X-Bad: 1",
        "\tX-Bad: 1",
        "no colon",
        "nocolon",
        ": 1",
        "X\u0000Bad: 1",
        "X\u0001Bad: 1",
        "X-Bad\u001f: 1",
        "X\u007fBad: 1",
        "X\u000bBad: 1",
        "X(Bad): 1",
        "X\"Bad: 1",
        "X,Bad: 1",
        "X/Bad: 1",
        "X\u00e4Bad: 1",
    )

    /** Values of Transfer-Encoding whose body the node can't read. */
    val transferCodings = listOf("gzip", "identity", "gzip, chunked", "chunked, gzip", "chunked, chunked", "x")

    /** Status lines that are valid though unusual, each of a success. */
    val validStatusLines =
        listOf("HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 200 OK", "HTTP/1.1 299 \u00e4 b\tc", "HTTP/1.1 201 O  K")

    /** Fields that are valid though unusual. */
    val validFieldLines = listOf(
        "!#$%&'*+-.^_`|~09azAZ: 1",
        "X-Empty:",
        "X-Blank:  ",
        "X-Tab: a\tb",
        "X-None:1",
        "X-High: \u00e4\u00ff",
        "X-Colon: a: b",
    )

    /** Complete responses with [body] that are invalid; the body is ASCII. */
    fun of(body: String): List<String> {
        val length = "Content-Length: ${body.length}"
        val chunked = "Transfer-Encoding: chunked"
        return statusLines.map { response(body, it, length) } +
            fieldLines.map { response(body, OK, length, it) } +
            fieldLines.map { response(chunk(body) + "0\r\n$it\r\n\r\n", OK, chunked) } +
            transferCodings.map { response(body, OK, length, "Transfer-Encoding: $it") }
    }

    /** Complete responses with [body] that are unusual but valid; the body is ASCII. */
    fun validOf(body: String): List<String> {
        val length = "Content-Length: ${body.length}"
        val chunked = "Transfer-Encoding: chunked"
        return validStatusLines.map { response(body, it, length) } +
            validFieldLines.map { response(body, OK, length, it) } +
            validFieldLines.map { response(chunk(body) + "0\r\n$it\r\n\r\n", OK, chunked) } +
            response(body, OK)
    }

    private fun response(body: String, vararg lines: String) =
        lines.joinToString("") { "$it\r\n" } + "Connection: close\r\n\r\n$body"

    private const val OK = "HTTP/1.1 200 OK"
}
