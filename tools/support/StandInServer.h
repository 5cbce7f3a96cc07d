#pragma once

#include "briarhitch/http/HttpServer.h"
#include "briarhitch/runtime/Loop.h"
#include "support/FaultSwitch.h"

namespace briarhitch {

/**
 * Serves the handler on the address given by --host and --port until SIGTERM or SIGINT, but for the times in which the
 * stand-in has crashed. Prints the port and writes it to --port_file. Returns the exit code.
 */
int runStandIn(Loop& loop, FaultSwitch& faults, HttpServer::Handler handler);

/** Answers with JSON text. */
void sendJson(HttpExchange& exchange, int status, const std::string& json);

}
