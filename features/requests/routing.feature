Feature: choosing a backend server

  Scenario: requests sent since the last report count, and older reports do not
    # Load reports are seconds old. Without counting its own requests, a daemon
    # would send all of them to the engine that was idle in the last report.
    Given a router with 2 engines
    When both reported no requests 500 ms ago and 6 requests are in flight at engine-1
    Then engine-2 is chosen each time
    When engine-2 reports 20 running, and then an older report of none arrives
    Then engine-1 is chosen each time

  Scenario: never more than half of a pool is ejected
    # A fault on the daemon's own side makes every engine appear to fail. If all
    # were ejected, the daemon would turn it into an outage.
    Given a router with 10 engines
    When every engine fails 2000 times
    Then 5 engines are usable
    When the first ejection is over
    Then an ejected engine is probed by one request at a time

  Scenario: a choice costs the same for 18 and 1800 backend servers
    Given a router with 18 engines
    When 1000 choices are made
    And the same with 1800 engines
    Then no choice examined more than 40 backend servers

  Scenario: a new revision does not rebuild the index of an unchanged pool
    # Thousands of changes a day affect other pools. After each one, requests of
    # the old and of the new revision alternate for a while.
    Given a router with 1800 engines
    When requests of two revisions with the same pool alternate
    Then the index of the pool was built once

  Scenario: a prefix goes to the engine that caches it until that engine is full
    Given a router with 10 engines
    When requests of one prefix arrive in sequence
    Then all of them go to one engine
    When all slots of that engine are taken
    Then the prefix goes to another engine

  Scenario: the attainment weight decides between a fast and a cheap engine
    Given a router with a fast expensive engine and a slow cheap one
    Then with only attainment weighted the fast one is chosen
    And with cost weighted 80 percent the cheap one is chosen
    And a full cheap one is not chosen
