package org.persimmonrelay.engine

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.client.HttpClient
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.prepareGet
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.async
import kotlinx.coroutines.channels.ProducerScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.channelFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.http.StrictHttpEngine
import org.persimmonrelay.http.readBody
import org.persimmonrelay.http.readBodyLine
import java.io.IOException

/**
 * Client for engines over HTTP/1.1, with one connection per stream.
 *
 * Reuses connections between streams and closes the connection of a cancelled stream. An invalid response fails it.
 * Only an output that ends with a finish reason is complete; one without was truncated. A stream that times out is
 * cancelled and its connection closed; the engine is not marked as failed. Lines and bodies that are longer than any
 * that an engine sends fail the request.
 */
public class KtorEngineClient(private val clock: Clock, private val timeouts: EngineTimeouts = EngineTimeouts()) :
    EngineClient,
    AutoCloseable {
    private val httpEngine = StrictHttpEngine(clock, "engine-client")
    private val http =
        HttpClient(httpEngine) {
            expectSuccess = false
            followRedirects = false
            install(HttpTimeout) { connectTimeoutMillis = timeouts.connect.inWholeMilliseconds }
        }

    override fun generate(address: EngineAddress, request: GenerateRequest): Flow<Either<EngineFailure, OutputChunk>> =
        channelFlow {
            val failure = stream(address, request)
            if (failure != null) send(failure.left())
        }

    private suspend fun ProducerScope<Either<EngineFailure, OutputChunk>>.stream(
        address: EngineAddress,
        request: GenerateRequest,
    ): EngineFailure? = coroutineScope {
        val watch = InactivityWatch(clock, timeouts)
        val reader = async { read(address, request, watch) }
        val watcher =
            launch {
                watch.awaitTimeout()
                reader.cancel()
            }
        reader.join()
        watcher.cancel()
        if (reader.isCancelled) timedOut(address) else reader.await()
    }

    private fun timedOut(address: EngineAddress) =
        EngineFailure.TimedOut("Engine ${address.value} sent no data within the timeout; the connection was closed.")

    private suspend fun ProducerScope<Either<EngineFailure, OutputChunk>>.read(
        address: EngineAddress,
        request: GenerateRequest,
        watch: InactivityWatch,
    ): EngineFailure? = try {
        http.preparePost(url(address, EngineRoutes.GENERATE)) {
            setJsonBody(JSON.encodeToString(request))
        }.execute { response ->
            if (!response.status.isSuccess()) return@execute errorOf(address, response)
            val body = response.bodyAsChannel()
            var line = body.readBodyLine(MAX_LINE_BYTES)
            while (line != null) {
                if (line.startsWith(EngineRoutes.EVENT_PREFIX)) {
                    watch.recordProgress()
                    send(JSON.decodeFromString<OutputChunk>(line.substring(EngineRoutes.EVENT_PREFIX.length)).right())
                }
                line = body.readBodyLine(MAX_LINE_BYTES)
            }
            null
        }
    } catch (e: IOException) {
        EngineErrors.of(address, e)
    } catch (e: SerializationException) {
        EngineFailure.RequestFailed("Engine ${address.value} sent an invalid output chunk: ${e.message}")
    } catch (e: CancellationException) {
        currentCoroutineContext().ensureActive()
        EngineFailure.RequestFailed("The connection to engine ${address.value} was closed: ${e.message}")
    }

    override suspend fun loadReport(address: EngineAddress): Either<EngineFailure, EngineLoadReport> =
        controlCall(address) {
            http.prepareGet(url(address, EngineRoutes.LOAD)).execute { decodeResponse(address, it) }
        }

    override suspend fun execute(
        address: EngineAddress,
        command: EngineCommand,
    ): Either<EngineFailure, EngineCommandResult> = controlCall(address) {
        http.preparePost(url(address, EngineRoutes.ORDERS)) {
            setJsonBody(JSON.encodeToString(EngineCommand.serializer(), command))
        }.execute { decodeResponse(address, it) }
    }

    override fun close() {
        http.close()
        httpEngine.close()
    }

    private suspend inline fun <reified T> decodeResponse(
        address: EngineAddress,
        response: HttpResponse,
    ): Either<EngineFailure, T> {
        if (!response.status.isSuccess()) return errorOf(address, response).left()
        return JSON.decodeFromString<T>(textOf(response)).right()
    }

    private suspend fun errorOf(address: EngineAddress, response: HttpResponse): EngineFailure {
        val text = textOf(response)
        if (response.status == HttpStatusCode.ServiceUnavailable) return EngineFailure.Refused(text)
        return EngineFailure.RequestFailed("Engine ${address.value} answered ${response.status.value}: $text")
    }

    /** The body of [response]. Throws [IOException] if it is too long or broke off. */
    private suspend fun textOf(response: HttpResponse): String {
        val body = response.bodyAsChannel().readBody(MAX_BODY_BYTES + 1)
        if (body.size > MAX_BODY_BYTES) throw IOException("The response is longer than $MAX_BODY_BYTES bytes.")
        return body.decodeToString()
    }

    private suspend fun <T> controlCall(
        address: EngineAddress,
        call: suspend () -> Either<EngineFailure, T>,
    ): Either<EngineFailure, T> = try {
        withTimeout(timeouts.control) { call() }
    } catch (_: TimeoutCancellationException) {
        EngineFailure.TimedOut("Engine ${address.value} did not respond within ${timeouts.control}.").left()
    } catch (e: IOException) {
        EngineErrors.of(address, e).left()
    } catch (e: SerializationException) {
        EngineFailure.RequestFailed("Engine ${address.value} sent an invalid response: ${e.message}").left()
    }

    private fun HttpRequestBuilder.setJsonBody(body: String) {
        contentType(ContentType.Application.Json)
        setBody(body)
    }

    private fun url(address: EngineAddress, path: String) = "http://${address.value}$path"

    private companion object {
        val JSON = Json { ignoreUnknownKeys = true }
        const val MAX_LINE_BYTES = 256 * 1024L
        const val MAX_BODY_BYTES = 1024 * 1024L
    }
}
