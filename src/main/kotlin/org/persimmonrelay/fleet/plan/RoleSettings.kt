package org.persimmonrelay.fleet.plan

import kotlinx.serialization.Serializable

/**
 * Settings of the role controller.
 *
 * Roles should serve the mix, now and [aheadSeconds] ahead, at [busyShare] of their capacity. An engine changes its
 * role if that adds the work of at least [minGain] engines beyond the cost of draining ([drainSeconds]) and changing
 * ([changeSeconds]), spread over [horizonSeconds]. At most [maxShareAtOnce] of a pool changes at a time, and an engine
 * has a role for at least [dwellSeconds]. [fastSeconds] and [slowSeconds] are the time constants of the averages of the
 * mix. A mixed engine prefills and decodes at the given efficiencies, relative to an engine with one role.
 */
@Serializable
public data class RoleSettings(
    val busyShare: Double = 0.85,
    val minGain: Double = 0.05,
    val horizonSeconds: Double = 60.0,
    val aheadSeconds: Double = 25.0,
    val changeSeconds: Double = 5.0,
    val drainSeconds: Double = 8.0,
    val maxShareAtOnce: Double = 0.13,
    val dwellSeconds: Double = 45.0,
    val fastSeconds: Double = 10.0,
    val slowSeconds: Double = 40.0,
    val mixedPrefillEfficiency: Double = 0.62,
    val mixedDecodeEfficiency: Double = 0.7,
)
