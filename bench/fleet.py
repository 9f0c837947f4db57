"""Starts stand-ins and routers for an experiment and measures their resources.

Used by bench/run only; needs nothing but Python's standard library.
"""
import hashlib, json, os, subprocess, tempfile, time, urllib.request

BUILD = os.environ.get("RHUBARBGRADE_BUILD", "build/release")
TICK = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGESIZE")


def http(method, url, body=None):
    data = None if body is None else body.encode()
    request = urllib.request.Request("http://" + url, data=data, method=method)
    with urllib.request.urlopen(request, timeout=20) as answer:
        return answer.read().decode()


class Process:
    def __init__(self, folder, name, command):
        self.log = open(f"{folder}/{name}.log", "w")
        self.child = subprocess.Popen(command, stdout=subprocess.PIPE,
                                      stderr=self.log, text=True)
        self.ports = {}
        while "listening" not in self.ports:
            line = self.child.stdout.readline()
            if not line:
                raise SystemExit(f"{name} exited before it was listening")
            key, value = line.split()
            self.ports[key] = int(value)

    def cpu(self):
        """CPU seconds used so far, user and system."""
        with open(f"/proc/{self.child.pid}/stat") as stat:
            fields = stat.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / TICK

    def memory(self):
        """Resident memory in bytes."""
        with open(f"/proc/{self.child.pid}/statm") as statm:
            return int(statm.read().split()[1]) * PAGE

    def end(self):
        self.child.kill()
        self.child.wait()


class Fleet:
    def __init__(self, zones, customers=10, engines=2, prepaid=1 << 40,
                 engine_flags=(), max_in_flight=512, settings=""):
        self.folder = tempfile.mkdtemp(prefix="rhubarbgrade-bench-")
        self.processes = []
        self.platform = self.start("platform",
                                   [f"{BUILD}/tests/standin_platform"])
        self.address = f"127.0.0.1:{self.platform.ports['listening']}"
        self.engines = [self.start(f"e{i}", [f"{BUILD}/tests/standin_engine",
                                             f"--name=e{i}", *engine_flags])
                        for i in range(min(engines, 4))]
        self.hosts = [(f"{zone}{i}", zone) for zone, count in zones.items()
                      for i in range(count)]
        self.customers, self.prepaid = customers, prepaid
        self.engine_count, self.max_in_flight = engines, max_in_flight
        self.zones = list(zones)
        self.apply()
        self.routers = []
        for host, zone in self.hosts:
            path = f"{self.folder}/{host}.toml"
            with open(path, "w") as out:
                out.write(f'host = "{host}"\nzone = "{zone}"\n'
                          'listen = "127.0.0.1:0"\n'
                          'admin_listen = "127.0.0.1:0"\n'
                          'rpc_listen = "127.0.0.1:0"\n'
                          f'platform = "{self.address}"\n'
                          'log_level = "warn"\n' + settings)
            self.routers.append(self.start(
                host, [f"{BUILD}/rhubarbgraded", f"--settings={path}"]))
        http("PUT", self.address + "/hosts", json.dumps(
            [{"name": h, "zone": z, "state": "live",
              "rpc": f"127.0.0.1:{r.ports['rpc']}"}
             for (h, z), r in zip(self.hosts, self.routers)]))
        self.wait(lambda: all(self.ready(r) for r in self.routers))

    def start(self, name, command):
        process = Process(self.folder, name, command)
        self.processes.append(process)
        return process

    def key(self, number):
        return f"key-{number}"

    def apply(self):
        folder = f"{self.folder}/set"
        os.makedirs(folder, exist_ok=True)
        # 2,000 customers per file keep each file below 1 MB.
        for first in range(0, self.customers, 2000):
            with open(f"{folder}/customers-{first}.toml", "w") as out:
                for i in range(first, min(first + 2000, self.customers)):
                    digest = hashlib.sha256(self.key(i).encode()).hexdigest()
                    out.write(f'[[customer]]\nname = "c{i}"\n'
                              f'key_sha256 = ["{digest}"]\n'
                              f'prepaid_tokens = {self.prepaid}\n')
        with open(f"{folder}/services.toml", "w") as out:
            out.write('[[service]]\nname = "chat"\nkind = "model"\n'
                      'model = "m"\nversion = "v1"\n[[version]]\n'
                      'name = "v1"\nservice = "chat"\n')
            # Endpoints beyond the started engines get ports without a listener.
            for i in range(self.engine_count):
                real = i < len(self.engines)
                port = (self.engines[i].ports["listening"] if real
                        else 20000 + i)
                zone = self.zones[i % len(self.zones)]
                out.write(f'[[endpoint]]\nname = "e{i}"\nversion = "v1"\n'
                          f'zone = "{zone}"\naddress = "127.0.0.1:{port}"\n'
                          f'max_in_flight = {self.max_in_flight}\n')
        subprocess.run([f"{BUILD}/rhubarbgrade", f"--platform={self.address}",
                        "--author=bench", "apply", folder], check=True,
                       stdout=subprocess.DEVNULL)

    def admin(self, router, page):
        return http("GET", f"127.0.0.1:{router.ports['admin']}{page}")

    def ready(self, router):
        try:
            status = json.loads(self.admin(router, "/status"))
            self.admin(router, "/readyz")
            return status["pairing"] in ("paired", "alone")
        except OSError:
            return False

    def wait(self, condition, seconds=60):
        end = time.time() + seconds
        while not condition():
            if time.time() > end:
                raise SystemExit(f"condition not met within {seconds} s")
            time.sleep(0.02)

    def stats(self):
        return json.loads(http("GET", self.address + "/stats"))

    def targets(self):
        return ",".join(f"127.0.0.1:{r.ports['listening']}"
                        for r in self.routers)

    def load(self, **flags):
        command = [f"{BUILD}/bench/rhubarbgrade-load",
                   f"--targets={self.targets()}"]
        command += [f"--{key}={value}" for key, value in flags.items()]
        done = subprocess.run(command, stdout=subprocess.PIPE, text=True)
        return json.loads(done.stdout)

    def costs(self, seconds, work=None):
        """Mean resource use per router, and of the platform, per second.

        Measures while `work` runs, or for `seconds` without it; returns the
        figures and the result of `work`.
        """
        cpu = [r.cpu() for r in self.routers]
        sent = loopback_bytes(self.routers)
        before, begin = self.stats(), time.time()
        result = work() if work else time.sleep(seconds)
        time_passed, after = time.time() - begin, self.stats()
        count = len(self.routers)
        used = sum(r.cpu() - c for r, c in zip(self.routers, cpu))
        row = {"routers": count,
               "core_percent": round(100 * used / time_passed / count, 2),
               "memory_mb": round(sum(r.memory() for r in self.routers)
                                  / count / 1e6, 1),
               "bytes_out_s": round((loopback_bytes(self.routers) - sent)
                                    / time_passed / count)}
        for key in ("reads", "writes", "watches", "bytes_in", "bytes_out"):
            row["platform_" + key + "_s"] = round(
                (after[key] - before[key]) / time_passed, 2)
        row["platform_waiting"] = after["waiting"]
        return row, result

    def end(self):
        for process in self.processes:
            process.end()


def loopback_bytes(routers):
    """Total bytes that the routers have written with write and send so far."""
    total = 0
    for router in routers:
        with open(f"/proc/{router.child.pid}/io") as io:
            for line in io:
                if line.startswith("wchar:"):
                    total += int(line.split()[1])
    return total
