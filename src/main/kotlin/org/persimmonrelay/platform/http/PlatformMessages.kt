/*
 * Messages of the platform's other interfaces over HTTP and JSON.
 */
package org.persimmonrelay.platform.http

import kotlinx.serialization.Serializable
import org.persimmonrelay.platform.Host

/** Answer to `GET /objects`. */
@Serializable
public data class NamesMessage(val names: List<String>)

/** Body of `POST /usage`. */
@Serializable
public data class UsageMessage(val window: String, val epoch: Long, val body: String)

/** Answer to `GET /hosts`. */
@Serializable
public data class HostsMessage(val hosts: List<Host>)

/** Answer to `GET /weights`. */
@Serializable
public data class WeightsMessage(val loadsPerMinute: Int)
