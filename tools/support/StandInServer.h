#pragma once

#include "briarhitch/http/HttpServer.h"
#include "briarhitch/runtime/Loop.h"

namespace briarhitch {

/**
 * Serves the handler on the address given by --host and --port until SIGTERM or SIGINT. Prints the port
 * and writes it to --port_file. Returns the exit code.
 */
int runStandIn(Loop& loop, HttpServer::Handler handler);

/** Answers with JSON text. */
void sendJson(HttpExchange& exchange, int status, const std::string& json);

}
