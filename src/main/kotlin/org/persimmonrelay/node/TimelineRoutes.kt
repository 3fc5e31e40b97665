package org.persimmonrelay.node

import io.ktor.http.ContentType
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import org.persimmonrelay.admin.AdminRoutes
import org.persimmonrelay.membership.TimelineCollector
import org.persimmonrelay.timeline.TimelineHtml
import org.persimmonrelay.timeline.TimelineText

/** Serves the merged time line of all nodes as plain text or as an HTML page. */
internal class TimelineRoutes(private val collector: TimelineCollector) : AdminRoutes {
    override fun installIn(route: Route) {
        route.get("/timeline") { call.respondText(TimelineText.render(collector.collect()), ContentType.Text.Plain) }
        route.get("/timeline.html") {
            call.respondText(TimelineHtml.render(collector.collect()), ContentType.Text.Html)
        }
    }
}
