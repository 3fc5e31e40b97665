package org.persimmonrelay.cli.ctl

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.header
import io.ktor.client.request.parameter
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentType
import java.io.IOException
import java.net.ConnectException
import java.nio.channels.UnresolvedAddressException

/** What came back from a call. */
internal sealed interface CtlAnswer {
    /** The node answered. */
    data class Answered(val status: HttpStatusCode, val body: String) : CtlAnswer

    /** No connection; the node has seen nothing. */
    data class NotConnected(val message: String) : CtlAnswer

    /** The call may have been served, but no answer came. */
    data class NoAnswer(val message: String) : CtlAnswer
}

/** Calls one node's administration API. */
internal class CtlClient(private val server: String, private val key: String) : AutoCloseable {
    private val http = HttpClient(CIO) {
        expectSuccess = false
        install(HttpTimeout) {
            requestTimeoutMillis = REQUEST_TIMEOUT_MILLIS
            connectTimeoutMillis = CONNECT_TIMEOUT_MILLIS
        }
    }

    suspend fun send(call: CtlRequest): CtlAnswer = try {
        val response = http.request(server.trimEnd('/') + BASE_PATH + call.path) {
            method = call.method
            header(HttpHeaders.Authorization, "Bearer $key")
            call.query.forEach { (name, value) -> parameter(name, value) }
            call.ifMatch?.let { header(HttpHeaders.IfMatch, "\"$it\"") }
            call.body?.let {
                contentType(ContentType.Application.Json)
                setBody(it)
            }
        }
        CtlAnswer.Answered(response.status, response.bodyAsText())
    } catch (e: ConnectException) {
        CtlAnswer.NotConnected("$server can't be reached: ${e.message}.")
    } catch (e: UnresolvedAddressException) {
        CtlAnswer.NotConnected("$server can't be found: $e.")
    } catch (e: IOException) {
        CtlAnswer.NoAnswer("$server gave no answer: ${e.message}.")
    } catch (e: IllegalArgumentException) {
        throw CtlUsageException("$server is no URL: ${e.message}. Write it like http://127.0.0.1:8081.", e)
    }

    override fun close(): Unit = http.close()

    private companion object {
        const val BASE_PATH = "/admin/v1"
        const val REQUEST_TIMEOUT_MILLIS = 30_000L
        const val CONNECT_TIMEOUT_MILLIS = 3_000L
    }
}
