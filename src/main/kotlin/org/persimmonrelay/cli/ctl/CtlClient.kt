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

/** Result of a call to the administration API. */
internal sealed interface CtlResult {
    /** The node sent a complete response. */
    data class Responded(val status: HttpStatusCode, val body: String) : CtlResult

    /** The connection failed; the node did not receive the request. */
    data class NotConnected(val message: String) : CtlResult

    /** The node may have executed the call, but its response was not received. */
    data class NoResponse(val message: String) : CtlResult
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

    suspend fun send(ctlRequest: CtlRequest): CtlResult = try {
        val response = http.request(server.trimEnd('/') + BASE_PATH + ctlRequest.path) {
            method = ctlRequest.method
            header(HttpHeaders.Authorization, "Bearer $key")
            ctlRequest.query.forEach { (name, value) -> parameter(name, value) }
            ctlRequest.ifMatch?.let { header(HttpHeaders.IfMatch, "\"$it\"") }
            ctlRequest.body?.let {
                contentType(ContentType.Application.Json)
                setBody(it)
            }
        }
        CtlResult.Responded(response.status, response.bodyAsText())
    } catch (e: ConnectException) {
        CtlResult.NotConnected("Could not connect to $server: ${e.message}.")
    } catch (e: UnresolvedAddressException) {
        CtlResult.NotConnected("Could not resolve $server: $e.")
    } catch (e: IOException) {
        CtlResult.NoResponse("No response from $server: ${e.message}.")
    } catch (e: IllegalArgumentException) {
        throw CtlUsageException("$server is not a valid URL: ${e.message}. Use a URL such as http://127.0.0.1:8081.", e)
    }

    override fun close(): Unit = http.close()

    private companion object {
        const val BASE_PATH = "/admin/v1"
        const val REQUEST_TIMEOUT_MILLIS = 30_000L
        const val CONNECT_TIMEOUT_MILLIS = 3_000L
    }
}
