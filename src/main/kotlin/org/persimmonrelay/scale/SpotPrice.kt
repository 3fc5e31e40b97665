package org.persimmonrelay.scale

import org.persimmonrelay.route.Scaling

/** Share of an ordinary server's price up to which spot servers are ordered. */
internal const val MAX_SPOT_PRICE_RATIO = 0.5

/** True if spot servers are available at a price that makes up for their being taken away on short notice. */
internal val Scaling.isSpotWorthwhile: Boolean
    get() = (spotPrice ?: 1.0) <= MAX_SPOT_PRICE_RATIO
