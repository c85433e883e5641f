"""Checks the rules of the service from what users, workers and the cloud see, and from nothing else.

Every method receives the time at which its event was seen. Times that a rule compares with a limit
are of the clock of `Clock`, which stands still while the stand-ins cannot keep up.
"""

TERMINAL = ("done", "cancelled")


def job_of(piece):
    return piece.rsplit("/", 1)[0]


class Job:
    """What is known of a job that was submitted."""

    def __init__(self, spec, is_valid=True):
        self.spec = spec
        self.is_valid = is_valid  # it can run, and its submission is complete
        self.accepted_at = None
        self.cancel_requested = False
        self.final = None  # (stage, when a user was first told)
        self.completed = set()  # pieces that exited with done
        self.upstream_told_at = None  # when a user was told that a job before it is cancelled
        self.last_answer_at = None

    @property
    def id(self):
        return self.spec["Id"]

    @property
    def is_accepted(self):
        return self.accepted_at is not None

    def accept(self, now):
        if not self.is_accepted:
            self.accepted_at = now

    def is_accepted_before(self, sent_at):
        return self.is_accepted and self.accepted_at <= sent_at


class Checker:
    """Collects violations as (rule, text)."""

    def __init__(self, teams, cancel_s, record=lambda text: None):
        self.teams = teams  # name -> most CPUs
        self.cancel_s = cancel_s
        self.record = record
        self.jobs = {}
        self.on = {}  # piece -> {machine name: zone}
        self.violations = []
        self.start_count = 0
        self.starts_after_cancel = 0
        self.reported = set()

    def violate(self, rule, text, key=None):
        if key is not None and (rule, key) in self.reported:
            return
        self.reported.add((rule, key))
        self.violations.append((rule, text))
        self.record(f"RULE BROKEN {rule}: {text}")

    # ---- machines ----

    def started(self, now, machine, piece):
        """A task has its image on a machine: (name, type, zone, is_spot)."""
        name, build, zone, is_spot = machine
        self.start_count += 1
        others = {m: z for m, z in self.on.get(piece, {}).items() if m != name}
        if others:
            self.violate("ran_twice", f"{piece} starts on {name} while it is on {sorted(others)}")
        self.on.setdefault(piece, {})[name] = zone
        job = self.jobs.get(job_of(piece))
        if job is None:
            self.violate("invented", f"{piece} of a job that was never submitted starts")
            return
        self._check_place(job, piece, build, zone, is_spot)
        self._check_limit(job.spec["Crew"], piece)
        self._check_cancelled_start(now, job, piece)
        for dependency in job.spec.get("Awaits") or []:
            before = self.jobs.get(dependency)
            if before is None or len(before.completed) < before.spec["Pieces"]:
                self.violate("too_early", f"{piece} starts before {dependency} is done")

    def left(self, piece, name):
        self.on.get(piece, {}).pop(name, None)

    def completed(self, piece):
        job = self.jobs.get(job_of(piece))
        if job:
            job.completed.add(piece)

    def is_completed(self, piece):
        job = self.jobs.get(job_of(piece))
        return job is not None and piece in job.completed

    def _zones(self, job):
        """The zones of the job's tasks that are on machines."""
        return [z for p, where in self.on.items() if job_of(p) == job.id for z in where.values()]

    def _check_place(self, job, piece, build, zone, is_spot):
        spec = job.spec
        if spec["Builds"] and build not in spec["Builds"]:
            self.violate("wrong_place", f"{piece} starts on the type {build}")
        if spec["Yard"] and zone != spec["Yard"]:
            self.violate("wrong_place", f"{piece} starts in zone {zone}")
        if is_spot and not spec["Loaners"]:
            self.violate("wrong_place", f"{piece} starts on a spot machine")
        zones = self._zones(job)
        if spec["OneZone"] and len(set(zones)) > 1:
            self.violate("wrong_place", f"{piece} starts in {zone}, others are in {set(zones)}")
        if spec["Apart"] and zones.count(zone) > (spec["Pieces"] + 1) // 2:
            self.violate("wrong_place", f"{zones.count(zone)} tasks of {job.id} are in {zone}")

    def use_of(self, crew):
        return sum(
            self.jobs[job_of(piece)].spec["Vcpus"] * len(where)
            for piece, where in self.on.items()
            if job_of(piece) in self.jobs and self.jobs[job_of(piece)].spec["Crew"] == crew
        )

    def _check_limit(self, crew, piece):
        use = self.use_of(crew)
        if use > self.teams[crew] + 1e-6:
            self.violate("quota", f"{crew} uses {use} of {self.teams[crew]} CPUs with {piece}")

    def _check_cancelled_start(self, now, job, piece):
        if not job.final or job.final[0] != "cancelled":
            return
        self.starts_after_cancel += 1
        if now - job.final[1] > self.cancel_s:
            self.violate("ran_cancelled", f"{piece} starts {now - job.final[1]:.1f} s after")

    # ---- users ----

    def submitted(self, spec, is_valid=True):
        self.jobs.setdefault(spec["Id"], Job(spec, is_valid))

    def cancel_sent(self, job_id):
        if job_id in self.jobs:
            self.jobs[job_id].cancel_requested = True

    def answered(self, now, sent_at, method, job_id, status, body):
        """A user got a response to a request (method POST: a submission, or a cancellation)."""
        job = self.jobs.get(job_id)
        if status == 404:
            if job and job.is_accepted_before(sent_at):
                self.violate("forgotten", f"{job_id} gets 404")
            return
        if status in (400, 422):
            if job and job.is_valid and job.is_accepted_before(sent_at):
                self.violate("forgotten", f"a repeated submission of {job_id} gets {status}")
            return
        if status not in (200, 201):
            return
        if job is None:
            self.violate("invented", f"{job_id} gets {status}")
            return
        if not job.is_valid:
            self.violate("accepted_invalid", f"{job_id} cannot run and gets {status}")
        job.accept(now)
        job.last_answer_at = now
        self._check_stage(now, sent_at, job, body.get("Stage"))

    def _check_stage(self, now, sent_at, job, stage):
        if job.final and sent_at >= job.final[1] and stage != job.final[0]:
            self.violate("went_back", f"{job.id} was called {job.final[0]} and is called {stage}")
        if stage == "done" and len(job.completed) < job.spec["Pieces"]:
            self.violate("not_done", f"{job.id}: {len(job.completed)} of {job.spec['Pieces']}")
        if stage == "cancelled" and not job.cancel_requested and not self._upstream_cancel(job):
            self.violate("went_back", f"{job.id} is called cancelled, which nobody asked for")
        if stage in TERMINAL and not job.final:
            job.final = (stage, now)
            if stage == "cancelled":
                self._note_downstream(now, job)
        is_late = job.upstream_told_at is not None and sent_at - job.upstream_told_at > self.cancel_s
        if is_late and stage in ("queued", "running"):
            self.violate("orphaned", f"{job.id} is called {stage}", job.id)

    def _upstream_cancel(self, job):
        """Whether a job before it was asked to be cancelled."""
        for dependency in job.spec.get("Awaits") or []:
            before = self.jobs.get(dependency)
            if before and (before.cancel_requested or self._upstream_cancel(before)):
                return True
        return False

    def _note_downstream(self, now, cancelled):
        for job in self.jobs.values():
            if cancelled.id in (job.spec.get("Awaits") or []) and job.upstream_told_at is None:
                job.upstream_told_at = now
                self._note_downstream(now, job)

    # ---- in between, and at the end ----

    def check_cancelled(self, now):
        """No task of a cancelled job is on a machine for longer than allowed."""
        for piece, where in self.on.items():
            job = self.jobs.get(job_of(piece))
            if not where or not job or not job.final or job.final[0] != "cancelled":
                continue
            if now - job.final[1] > self.cancel_s:
                self.violate("ran_cancelled", f"{piece} is still on {sorted(where)}", piece)

    def unserved(self):
        """The accepted jobs that are not over, or whose replicas do not all run."""
        rows = []
        for job in self.jobs.values():
            if not job.is_accepted or job.final:
                continue
            running = sum(bool(self.on.get(f"{job.id}/{i}")) for i in range(job.spec["Pieces"]))
            if job.spec["Form"] != "daemon" or running < job.spec["Pieces"]:
                rows.append((job.id, len(job.completed), running, job.spec["Pieces"]))
        return rows

    def check_served(self):
        if not self.start_count:
            self.violate("nothing_ran", "no task was started")
        for job_id, done, running, pieces in self.unserved():
            self.violate("not_served", f"{job_id}: {done} done and {running} run of {pieces}")

    def check_known(self, now, since, patience_s):
        """Every job has been answered for within the last `patience_s`, troubles over `since`."""
        for job in self.jobs.values():
            if job.is_accepted and now - max(since, job.last_answer_at) > patience_s:
                self.violate("forgotten", f"nobody answers for {job.id}", job.id)
