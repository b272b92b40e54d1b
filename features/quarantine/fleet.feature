Feature: all daemons hear of a request that crashes replicas

  Scenario Outline: of <count> daemons all know within 300 ms
    # Guards against daemons that have to see a request's crashes themselves.
    Given <count> daemons that watch for crashes
    When three of them see a replica crash under one request
    Then all daemons refuse it within 300 ms

    Examples: sizes
      | count |
      | 1     |
      | 6     |
      | 61    |
      | 195   |
      | 348   |

  Scenario Outline: a collector of reports that <fault>
    # Guards against evidence that is lost with one host.
    Given 61 daemons that watch for crashes
    When a collector <fault> and three daemons see a replica crash
    Then all other daemons refuse it within 1500 ms

    Examples: faults
      | fault             |
      | is frozen         |
      | has died          |
      | hears of nobody   |

  Scenario Outline: both collectors die after the <number> crash
    # Guards against evidence that only its collectors have.
    Given 61 daemons that watch for crashes
    When both collectors die after the <number> crash under one request
    Then all other daemons refuse it within 1500 ms

    Examples: crashes
      | number |
      | first  |
      | second |

  Scenario: a daemon that was cut off hears with its next probe
    # Guards against a message that is sent once.
    Given 61 daemons that watch for crashes
    When one is cut off as three daemons see a replica crash
    Then it refuses the request once it has probed another daemon

  Scenario: nothing is sent while nothing crashes
    # Guards against a cost that every day pays for a rare fault.
    Given 61 daemons that watch for crashes
    When a minute passes with requests and connections that are reset
    Then no daemon has sent another one anything about it

  Scenario: one crash under many requests is told to the collectors only
    # Guards against messages to all for requests that broke beside the cause.
    Given 195 daemons that watch for crashes
    When a replica crashes under 40 requests of 20 daemons
    Then there are as many messages as daemons that saw it, to each collector

  Scenario: replicas that crash under hundreds of requests of one daemon
    # Guards against reports that leave the cause out for want of room.
    Given 6 daemons that watch for crashes
    When three replicas crash, each under 300 requests of a daemon
    Then all daemons refuse the one that was at each crash

  Scenario Outline: a request that <where> serves after two crashes is cleared
    # Guards against blame that outlives the proof against it.
    Given 61 daemons that watch for crashes
    When a request is served at <where> that saw none of its two crashes
    Then a third crash under it has no daemon refuse it

    Examples: places
      | where              |
      | a daemon           |
      | the last collector |
