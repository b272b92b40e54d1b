Feature: daemons that are cut off from all replicas serve their callers

  Scenario Outline: a cut of <which> that <does>
    # Guards against a daemon that refuses its callers as its own paths to the
    # replicas are gone, while other daemons reach them; and against a decider
    # without paths that fails the requests of all daemons.
    Given daemons of which <which> lose all replicas by a cut that <does>
    When they are played with two seeds
    Then first tries at cut daemons are served nearly as often as elsewhere
    And nothing runs twice, nothing refused has run, and streams are whole
    And all is as before three seconds after the cut

    Examples: cuts
      | which                       | does                    |
      | a third                     | hangs connections       |
      | a third                     | resets connections      |
      | a third                     | spares open connections |
      | a data centre               | hangs connections       |
      | the decider of a stage      | resets connections      |
      | the decider of the engines  | hangs connections       |
