Feature: choosing a backend server

  Scenario: own requests since the last report count, and old reports do not
    # Reports lag by seconds. Between two of them a daemon would send all its
    # requests to the one that looked idle last.
    Given a router before 2 engines
    When both reported nothing a moment ago and 6 requests are in flight at engine-1
    Then engine-2 is chosen each time
    When engine-2 reports 20 running, and then an older report of none arrives
    Then engine-1 is chosen each time

  Scenario: never more than half of a pool is ejected
    # The fault is on the daemon's own side, so every engine seems to fail. If
    # all were ejected, an outage would be made out of it.
    Given a router before 10 engines
    When every engine fails 2000 times
    Then 5 engines may be used
    When the first ejection is over
    Then an ejected engine is probed by one request at a time

  Scenario: a choice costs the same before 18 and 1800 backend servers
    Given a router before 18 engines
    When 1000 choices are made
    And the same before 1800 engines
    Then no choice looked at more than 40 backend servers

  Scenario: a new revision does not lay an unchanged pool out again
    # Thousands of changes a day concern other pools. Requests of the revision
    # before and of the new one come in turn for a while.
    Given a router before 1800 engines
    When requests of two revisions with the same pool come in turn
    Then the pool was laid out once

  Scenario: a prefix goes where it is cached until that place is loaded
    Given a router before 10 engines
    When requests of one prefix come one after the other
    Then they all go to one engine
    When that engine has all its slots taken
    Then the prefix goes elsewhere

  Scenario: the weight of attainment against cost decides between fast and cheap
    Given a router before a fast dear engine and a slow cheap one
    Then with only attainment counting the fast one is chosen
    And with mostly cost counting the cheap one is chosen
    And a full cheap one is not chosen
