package org.persimmonrelay.admin

import io.ktor.server.routing.Route

/** Adds routes below `/admin/v1`; requests to them need an operator's key. */
public fun interface AdminRoutes {
    public fun installIn(route: Route)
}
