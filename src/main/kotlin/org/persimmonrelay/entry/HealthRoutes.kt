package org.persimmonrelay.entry

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry

/** Health checks for the load balancer and metrics for monitoring; [isReady] is false while the node shuts down. */
public fun Route.healthRoutes(registry: PrometheusMeterRegistry, isReady: () -> Boolean) {
    get("/healthz") { call.respondText("ok\n") }
    get("/readyz") {
        if (isReady()) {
            call.respondText("ready\n")
        } else {
            call.respondText("not ready\n", status = HttpStatusCode.ServiceUnavailable)
        }
    }
    get("/metrics") { call.respondText(registry.scrape(), ContentType.Text.Plain) }
}
