Feature: all daemons refuse a request that crashes replicas

  Scenario Outline: all of <count> daemons refuse a request within 300 ms
    # Guards against daemons that learn of a request only by its crashes.
    Given <count> daemons that watch for crashes
    When three of them see a replica crash while running one request
    Then all daemons refuse it within 300 ms

    Examples: sizes
      | count |
      | 1     |
      | 6     |
      | 61    |
      | 195   |
      | 348   |

  Scenario Outline: a collector of reports that <fault>
    # Guards against evidence that is lost with one collector.
    Given 61 daemons that watch for crashes
    When a collector <fault> and three daemons see a replica crash
    Then all other daemons refuse it within 1500 ms

    Examples: faults
      | fault                |
      | is frozen            |
      | has died             |
      | receives no messages |

  Scenario Outline: both collectors die after the <number> crash
    # Guards against evidence that only the collectors have.
    Given 61 daemons that watch for crashes
    When both collectors die after the <number> crash caused by a request
    Then all other daemons refuse it within 1500 ms

    Examples: crashes
      | number |
      | first  |
      | second |

  Scenario: a daemon that was unreachable gets the evidence with its next probe
    # Guards against evidence that is sent only once and can be lost.
    Given 61 daemons that watch for crashes
    When one is unreachable while three daemons see a replica crash
    Then it refuses the request once it has probed another daemon

  Scenario: nothing is sent while nothing crashes
    # Guards against a permanent cost for a rare fault.
    Given 61 daemons that watch for crashes
    When a minute passes with requests and connections that are reset
    Then no daemon has sent any evidence to another one

  Scenario: one crash with many requests is reported to the collectors only
    # Guards against messages to all daemons about requests that are no cause.
    Given 195 daemons that watch for crashes
    When a replica crashes while running 40 requests of 20 daemons
    Then each collector gets one message from each daemon that saw it

  Scenario: replicas that crash while running hundreds of requests of one daemon
    # Guards against reports that omit the cause because of their size limit.
    Given 6 daemons that watch for crashes
    When three replicas crash, each while running 300 requests of a daemon
    Then all daemons refuse the request that was in progress at each crash

  Scenario Outline: a request that <where> serves after two crashes is cleared
    # Guards against evidence that survives proof to the contrary.
    Given 61 daemons that watch for crashes
    When a request is served at <where> that saw none of its two crashes
    Then no daemon refuses it after a third crash

    Examples: places
      | where              |
      | a daemon           |
      | the last collector |

  Scenario: the line of a crash names the suspects and the parts of their prompts
    # Guards against logs from which no common property of crashes can be read.
    Given 6 daemons that watch for crashes
    When a replica crashes while running two requests with parts
    Then the line of the crash names both, each with its parts
