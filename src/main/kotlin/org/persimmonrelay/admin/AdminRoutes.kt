package org.persimmonrelay.admin

import io.ktor.server.routing.Route

/** Adds routes below `/admin/v1`, behind the operators' keys. */
public fun interface AdminRoutes {
    public fun installIn(route: Route)
}
