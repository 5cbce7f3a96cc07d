"""A small deployment on loopback for the scripts of the review: the project's programs, started with the commands and
templates of the deploy file, and stand-ins for the platform's list of servers, servers and clients."""
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path, mode="w"):
        self.file = open(path, mode)
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def __call__(self, text):
        line = "%8.3f  %s" % (time.monotonic() - self.start, text)
        with self.lock:
            self.file.write(line + "\n")
            self.file.flush()
        print(line, flush=True)


def look_up(fields, name):
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        else:
            value = value.get(part) if isinstance(value, dict) else None
        if value is None:
            return None
    return value


def render(template, fields):
    """The part of the template language of DEPLOY.md that this project's templates use."""
    def section(match):
        kind, name, body = match.group(1), match.group(2), match.group(3)
        value = look_up(fields, name)
        isSet = value is not None and value is not False
        if kind == "^":
            return "" if isSet else body
        return body.replace("{{.}}", str(value)) if isSet else ""

    def value(match):
        found = look_up(fields, match.group(1))
        if match.group(2):
            return json.dumps(found)
        if found is None:
            return ""
        return ",".join(found) if isinstance(found, list) else str(found)

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


def read_roles():
    roles = {}
    current = None
    with open(os.path.join(REPOSITORY, "deploy/system.toml")) as file:
        for line in file:
            header = re.match(r"\[roles\.(\w+)\]", line)
            setting = re.match(r'(run|template) = "(.*)"', line)
            if header:
                current = roles.setdefault(header.group(1), {})
            elif setting and current is not None:
                current[setting.group(1)] = setting.group(2)
    return roles


class Fleet:
    """Three or five core machines (control and pools) and some fronts, each with a loopback address of its own."""

    def __init__(self, record, cores=3, fronts=1, tolerated=1):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="briarhitch-review-")
        self.prefix = "127.%d.%d." % (random.randint(20, 220), random.randint(1, 250))
        first = self.free_ports(8)
        self.front_port, self.ready_port, self.control_port, self.list_port, self.server_port = first, first + 1, first + 2, first + 3, first + 4
        self.link_ports = [first + 5, first + 6]
        self.cores = [self.host(1 + i) for i in range(cores)]
        self.fronts = [self.host(21 + i) for i in range(fronts)]
        self.tolerated = tolerated
        self.list_address = "%s:%d" % (self.host(100), self.list_port)
        self.roles = read_roles()
        self.processes = {}
        self.zones = ["recife-a", "recife-b", "fortaleza-c"]

    def host(self, number):
        return self.prefix + str(number)

    def free_ports(self, count):
        for _ in range(200):
            first = random.randint(11000, 29000)
            sockets = []
            try:
                for port in range(first, first + count):
                    for host in (self.host(1), self.host(21), self.host(100)):
                        probe = socket.socket()
                        sockets.append(probe)
                        probe.bind((host, port))
                return first
            except OSError:
                continue
            finally:
                for probe in sockets:
                    probe.close()
        raise RuntimeError("no free ports")

    def fields(self, role, ip, zone, bootstrap):
        return {
            "role": role, "ip": ip, "zone": zone, "region": "nordeste", "bootstrap": bootstrap,
            "listen": {"front": "%s:%d" % (ip, self.front_port), "ready": "%s:%d" % (ip, self.ready_port), "control": "%s:%d" % (ip, self.control_port)},
            "portRange": [str(port) for port in self.link_ports],
            "seeds": ["%s:%d" % (core, self.control_port) for core in self.cores[:3]],
            "tolerate": {"machines": self.tolerated, "zones": 0, "regions": 0},
            "bounds": {"retryBudgetRatio": 0.2, "budgetSlack": 52, "budgetWindowS": 10, "quotaOver": 0.1, "quotaSlack": 140000, "quotaWindowS": 8},
            "dataDir": os.path.join(self.folder, "data-" + ip),
            "cloud": {"address": self.list_address},
        }

    def start(self, role, ip, bootstrap=False):
        zone = self.zones[int(ip.rsplit(".", 1)[1]) % len(self.zones)]
        fields = self.fields(role, ip, zone, bootstrap)
        path = os.path.join(self.folder, "%s-%s.conf" % (role, ip))
        with open(os.path.join(REPOSITORY, self.roles[role]["template"])) as file:
            text = render(file.read(), fields)
        with open(path, "w") as file:
            file.write(text)
        command = render(self.roles[role]["run"].replace("/etc/briarhitch/node.conf", path), fields).split()
        log = open(os.path.join(self.folder, "%s-%s.log" % (role, ip)), "a")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.processes[(role, ip)] = subprocess.Popen(command, cwd=REPOSITORY, stdout=log, stderr=log, stdin=subprocess.DEVNULL, env=environment)

    def start_all(self):
        for core in self.cores:
            self.start("control", core, True)
            self.start("pools", core, True)
        for front in self.fronts:
            self.start("front", front, True)

    def signal(self, role, ip, number):
        self.processes[(role, ip)].send_signal(number)

    def log_of(self, role, ip):
        with open(os.path.join(self.folder, "%s-%s.log" % (role, ip))) as file:
            return file.read()

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
                process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def put_configuration(self, document, limit_s=25):
        """As the operator does: any node, following redirects, again until a clear answer."""
        body = json.dumps(document).encode()
        end = time.monotonic() + limit_s
        nodes = [(core, self.control_port) for core in self.cores]
        while time.monotonic() < end:
            host, port = random.choice(nodes)
            for _ in range(3):
                try:
                    answer = call(host, port, "PUT", "/v1/config", {"Content-Type": "application/json"}, body, 1.5)
                except OSError:
                    break
                if answer.status == 307:
                    host, port = re.match(r"http://([\d.]+):(\d+)/", answer.headers["location"]).groups()
                    port = int(port)
                    continue
                if answer.status == 200:
                    self.record("operator: configuration %d is acknowledged" % document["version"])
                    return True
                if answer.status in (400, 409, 412, 413, 422):
                    self.record("operator: configuration %d got %d %r" % (document["version"], answer.status, answer.body[:200]))
                    return False
                break
            time.sleep(0.2)
        return False

    def wait_ready(self, limit_s=25):
        end = time.monotonic() + limit_s
        waiting = set(self.fronts)
        while waiting and time.monotonic() < end:
            for front in list(waiting):
                try:
                    if call(front, self.ready_port, "GET", "/v1/ready", {}, b"", 1).status == 200:
                        waiting.discard(front)
                except OSError:
                    pass
            time.sleep(0.1)
        return not waiting


class Answer:
    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.isComplete = False
        self.error = ""


def read_head(stream):
    line = stream.readline()
    if not line:
        return None, {}
    headers = {}
    while True:
        field = stream.readline()
        if field in (b"\r\n", b"\n", b""):
            return line.decode("latin-1").strip(), headers
        name, _, value = field.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()


def call(host, port, method, path, headers, body, timeout, on_bytes=None):
    """One request on a new connection. `isComplete` says whether the framing of the answer was kept to its end."""
    answer = Answer()
    with socket.create_connection((host, port), timeout=timeout) as connection:
        connection.settimeout(timeout)
        head = "%s %s HTTP/1.1\r\n" % (method, path)
        headers = dict(headers)
        headers.setdefault("Host", "%s:%d" % (host, port))
        if body or method in ("POST", "PUT"):
            headers["Content-Length"] = str(len(body))
        head += "".join("%s: %s\r\n" % item for item in headers.items()) + "\r\n"
        connection.sendall(head.encode() + body)
        stream = connection.makefile("rb")
        try:
            status, answer.headers = read_head(stream)
            if status is None:
                answer.error = "closed"
                return answer
            answer.status = int(status.split()[1])
            if answer.headers.get("transfer-encoding", "").lower() == "chunked":
                while True:
                    size = stream.readline()
                    if not size:
                        return answer
                    length = int(size.split(b";")[0], 16)
                    if length == 0:
                        while stream.readline() not in (b"\r\n", b""):
                            pass
                        answer.isComplete = True
                        return answer
                    chunk = stream.read(length)
                    answer.body += chunk
                    if on_bytes:
                        on_bytes(chunk)
                    if len(chunk) < length or stream.read(2) != b"\r\n":
                        return answer
            if "content-length" in answer.headers:
                length = int(answer.headers["content-length"])
                answer.body = stream.read(length)
                answer.isComplete = len(answer.body) == length
            else:
                answer.body = stream.read()
                answer.isComplete = True
        except OSError as error:
            answer.error = str(error)
        return answer


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body


class HttpStandIn:
    """Serves requests of kept connections, each connection in a thread; `handle(request, connection)` writes the answer
    and returns whether the connection goes on."""

    def __init__(self, host, port, handle):
        self.host, self.port, self.handle = host, port, handle
        self.connections = set()
        self.lock = threading.Lock()
        self.listener = None
        self.open()

    def open(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self.host, self.port))
        listener.listen(512)
        self.listener = listener
        threading.Thread(target=self.accept, args=(listener,), daemon=True).start()

    def accept(self, listener):
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.connections.add(connection)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        try:
            stream = connection.makefile("rb")
            while True:
                line, headers = read_head(stream)
                if not line:
                    break
                method, target, _ = line.split(" ", 2)
                body = stream.read(int(headers.get("content-length", 0)))
                if not self.handle(Request(method, target, headers, body), connection):
                    break
        except (OSError, ValueError):
            pass
        finally:
            with self.lock:
                self.connections.discard(connection)
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            connection.close()

    def crash(self):
        """The process ends: it refuses connections, and those that were open are reset."""
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
        with self.lock:
            connections = list(self.connections)
        for connection in connections:
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                connection.shutdown(socket.SHUT_RDWR)
                connection.close()
            except OSError:
                pass


def send_answer(connection, status, headers, body):
    head = "HTTP/1.1 %d X\r\n" % status + "".join("%s: %s\r\n" % item for item in headers.items())
    connection.sendall((head + "Content-Length: %d\r\n\r\n" % len(body)).encode() + body)


class InstanceList:
    """The platform's list of servers. It lags: what `show` says is listed lag_s later."""

    def __init__(self, fleet, lag_s=0.8):
        self.lag_s = lag_s
        self.shown = []
        self.lock = threading.Lock()
        address, port = fleet.list_address.split(":")
        self.server = HttpStandIn(address, int(port), self.handle)

    def show(self, entries, at_once=False):
        with self.lock:
            self.shown.append((time.monotonic() + (0 if at_once else self.lag_s), json.loads(json.dumps(entries))))

    def handle(self, request, connection):
        now = time.monotonic()
        with self.lock:
            listed = [entries for at, entries in self.shown if at <= now]
        body = json.dumps({"instances": listed[-1] if listed else [], "next": None}).encode()
        send_answer(connection, 200, {"Content-Type": "application/json"}, body)
        return True


def event_ids(text):
    """Ids of the events of a stream's body."""
    return [int(number) for number in re.findall(r"^id: (\d+)$", text, flags=re.M)]


def run(main):
    """Ends with the result of main(), and with 2 if the case could not run. A signal to end also stops the fleet."""
    def end(*_):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, end)
    try:
        code = main()
    except BaseException:
        traceback.print_exc()
        code = 2
    sys.stdout.flush()
    # Threads of stand-ins may still wait.
    os._exit(code)
